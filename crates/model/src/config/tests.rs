//! Guards against documents that are accepted in part or with unclear errors.

use proptest::prelude::*;

use super::*;

const GOOD: &str = r#"
[[service]]
name = "orders"
version = "v1"

[[service.class]]
name = "confirmation"
target_ms = 60
delay_ms = 20
idempotent = false

[[move]]
service = "orders"
version = "v2"
deadline = 2026-12-05T10:00:00Z
"#;

fn errors(text: &str) -> Vec<String> {
    let found = Config::parse("orders.toml", text).expect_err("the document is wrong");
    found.iter().map(ToString::to_string).collect()
}

#[test]
fn parse_whole_document() {
    let config = Config::parse("orders.toml", GOOD).unwrap();
    let class = &config.services[0].classes[0];
    assert_eq!(
        (class.target_ms, class.delay_ms, class.timeout_ms),
        (60, 20, 1_200)
    );
    assert_eq!(config.moves[0].deadline, Wall(1_796_464_800_000));
}

#[test]
fn parse_weight_is_unknown_key() {
    let text = GOOD.replace("idempotent", "weight = 3\nidempotent");
    let expected = "5002: orders.toml: service[0].class[0].weight: got weight; allowed: one of \
                    name, target_ms, delay_ms, idempotent, timeout_ms";
    assert_eq!(errors(&text), [expected]);
}

#[test]
fn parse_reports_every_error() {
    let text = GOOD
        .replace("target_ms = 60", "target_ms = 0")
        .replace("\"orders\"\nversion = \"v2\"", "\"gone\"\nversion = \"v2\"");
    let found = errors(&text);
    assert_eq!(found.len(), 2, "{found:?}");
    assert!(found[0].starts_with("5004: orders.toml: service[0].class[0].target_ms: got 0;"));
    assert!(found[1].starts_with("5006: orders.toml: move[0].service: got gone;"));
}

#[test]
fn parse_delay_above_target() {
    let found = errors(&GOOD.replace("delay_ms = 20", "delay_ms = 61"));
    assert_eq!(
        found,
        [
            "5004: orders.toml: service[0].class[0].delay_ms: got 61; allowed: at most target_ms, which is 60"
        ]
    );
}

#[test]
fn parse_duplicate_service() {
    let text = format!("{GOOD}\n{}", GOOD.split("[[move]]").next().unwrap());
    assert!(errors(&text)[0].starts_with("5005: orders.toml: service[1].name: got orders;"));
}

#[test]
fn parse_large_document() {
    let text = format!("# {}", "x".repeat(MAX_CONFIG_BYTES));
    assert!(errors(&text)[0].starts_with("5007: "));
}

#[test]
fn unix_ms_offset_and_leap_day() {
    let time: toml::value::Datetime = "2024-02-29T01:30:00.250+02:00".parse().unwrap();
    assert_eq!(unix_ms(&time), Some(1_709_163_000_250));
}

/// Guards against documents that reserve memory or time out of proportion to any real use.
#[test]
fn parse_many_entries() {
    let service = GOOD.split("[[move]]").next().unwrap();
    let class = service.split_once("[[service.class]]").unwrap().1;
    let services: String = (0..=MAX_SERVICES)
        .map(|i| service.replace("\"orders\"", &format!("\"orders-{i}\"")))
        .collect();
    assert_eq!(
        errors(&services),
        ["5004: orders.toml: service: got 65; allowed: at most 64 entries"]
    );
    let named = |i| class.replace("confirmation", &format!("c{i}"));
    let classes: String = (0..=MAX_CLASSES)
        .flat_map(|i| ["[[service.class]]".to_owned(), named(i)])
        .collect();
    let head = service.split_once("[[service.class]]").unwrap().0;
    assert_eq!(
        errors(&format!("{head}{classes}")),
        ["5004: orders.toml: service[0].class: got 17; allowed: at most 16 entries"]
    );
}

#[test]
fn parse_absurd_numbers() {
    let numbers = [
        "-1",
        "600001",
        "9223372036854775807",
        "1e3",
        "60.0",
        "\"60\"",
        "nan",
        "[60]",
    ];
    for number in numbers {
        let found = errors(&GOOD.replace("target_ms = 60", &format!("target_ms = {number}")));
        assert_eq!(found.len(), 1, "{found:?}");
        assert!(found[0].starts_with("5004: orders.toml: service[0].class[0].target_ms:"));
    }
    let beyond = errors(&GOOD.replace("target_ms = 60", "target_ms = 9223372036854775808"));
    assert!(beyond[0].starts_with("5001: "), "{beyond:?}");
}

/// Guards against text of a document that steers a terminal or splits a log line.
#[test]
fn parse_control_characters() {
    let texts = [
        GOOD.replace("\"orders\"", "\"or\\u001bders\""),
        GOOD.replace("idempotent", "\"a\\u001b[2J\\nb\" = 1\nidempotent"),
        GOOD.replace("\"v2\"", "\"v2\\u0007\""),
        GOOD.replace("\"orders\"", "\"or\u{1b}[2Jders\""),
        GOOD.replace(
            "target_ms",
            &format!("{} = 1\ntarget_ms", "k".repeat(9_000)),
        ),
    ];
    for text in texts {
        let found = errors(&text);
        for error in &found {
            assert!(!error.contains(char::is_control), "{error:?}");
            assert!(error.len() < 1_000, "{error}");
        }
    }
}

/// Guards against a parser that runs out of stack.
#[test]
fn parse_deep_nesting() {
    for text in [
        "[".repeat(40_000),
        "a=".to_owned() + &"[".repeat(40_000),
        "a.".repeat(20_000),
    ] {
        assert!(errors(&text)[0].starts_with("5001: "));
    }
}

proptest! {
    /// Guards against deadlines that are shown as another time than the one stated.
    #[test]
    fn display_wall_round_trip(ms in 0_u64..253_402_300_800_000) {
        let time: toml::value::Datetime = Wall(ms).to_string().parse().unwrap();
        prop_assert_eq!(unix_ms(&time), Some(ms));
    }

    /// Guards against panics on any input.
    #[test]
    fn parse_any_text(text in "\\PC{0,400}") {
        let _ = Config::parse("any.toml", &text);
    }

    /// Guards against panics on documents that are valid TOML but not valid configuration.
    #[test]
    fn parse_mutated_document(at in 0..GOOD.len(), with in "[\\[\\]=\"0-9a-z\\n.]{0,3}") {
        let text = format!("{}{with}{}", &GOOD[..at], &GOOD[at + 1..]);
        if let Err(errors) = Config::parse("any.toml", &text) {
            prop_assert!(!errors.is_empty());
            prop_assert!(errors.iter().all(|e| (5000..6000).contains(&e.code.number())));
        }
    }
}

//! Guards against invalid documents that are accepted and against errors that do not name the key.

use proptest::prelude::*;

use super::*;

const VALID: &str = r#"
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
    let found = Config::parse("orders.toml", text).expect_err("the document has an error");
    found.iter().map(ToString::to_string).collect()
}

#[test]
fn parse_valid_document() {
    let config = Config::parse("orders.toml", VALID).unwrap();
    let class = &config.services[0].classes[0];
    assert_eq!(
        (class.target_ms, class.delay_ms, class.timeout_ms),
        (60, 20, 1_200)
    );
    assert_eq!(config.moves[0].deadline, Wall(1_796_464_800_000));
}

#[test]
fn parse_unknown_key() {
    let text = VALID.replace("idempotent", "weight = 3\nidempotent");
    let expected = "5002: orders.toml: service[0].class[0].weight: got weight; allowed: one of \
                    name, target_ms, delay_ms, idempotent, timeout_ms";
    assert_eq!(errors(&text), [expected]);
}

#[test]
fn parse_reports_every_error() {
    let text = VALID
        .replace("target_ms = 60", "target_ms = 0")
        .replace("\"orders\"\nversion = \"v2\"", "\"gone\"\nversion = \"v2\"");
    let found = errors(&text);
    assert_eq!(found.len(), 2, "{found:?}");
    assert!(found[0].starts_with("5004: orders.toml: service[0].class[0].target_ms: got 0;"));
    assert!(found[1].starts_with("5006: orders.toml: move[0].service: got gone;"));
}

#[test]
fn parse_delay_above_target() {
    let found = errors(&VALID.replace("delay_ms = 20", "delay_ms = 61"));
    assert_eq!(
        found,
        [
            "5004: orders.toml: service[0].class[0].delay_ms: got 61; allowed: at most target_ms, which is 60"
        ]
    );
}

#[test]
fn parse_duplicate_service() {
    let text = format!("{VALID}\n{}", VALID.split("[[move]]").next().unwrap());
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

/// Guards against documents that take far more memory or time than any real one.
#[test]
fn parse_too_many_entries() {
    let service = VALID.split("[[move]]").next().unwrap();
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
fn parse_numbers_out_of_range() {
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
        let found = errors(&VALID.replace("target_ms = 60", &format!("target_ms = {number}")));
        assert_eq!(found.len(), 1, "{found:?}");
        assert!(found[0].starts_with("5004: orders.toml: service[0].class[0].target_ms:"));
    }
    let above_i64 = errors(&VALID.replace("target_ms = 60", "target_ms = 9223372036854775808"));
    assert!(above_i64[0].starts_with("5001: "), "{above_i64:?}");
}

/// Guards against control characters of a document that reach a terminal or split a log line.
#[test]
fn parse_control_characters() {
    let texts = [
        VALID.replace("\"orders\"", "\"or\\u001bders\""),
        VALID.replace("idempotent", "\"a\\u001b[2J\\nb\" = 1\nidempotent"),
        VALID.replace("\"v2\"", "\"v2\\u0007\""),
        VALID.replace("\"orders\"", "\"or\u{1b}[2Jders\""),
        VALID.replace(
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

/// Guards against a stack overflow of the parser.
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
    fn parse_mutated_document(at in 0..VALID.len(), replacement in "[\\[\\]=\"0-9a-z\\n.]{0,3}") {
        let text = format!("{}{replacement}{}", &VALID[..at], &VALID[at + 1..]);
        if let Err(errors) = Config::parse("any.toml", &text) {
            prop_assert!(!errors.is_empty());
            prop_assert!(errors.iter().all(|e| (5000..6000).contains(&e.code.number())));
        }
    }
}

//! Guards against settings files that are accepted with mistakes in them.

use super::*;

const VALID: &str = r#"
instance = "i-1"
zone = "a"
region = "r1"
listen = "127.0.0.1:8080"
peer = "127.0.0.1:8081"
admin = "127.0.0.1:8082"
log = "127.0.0.1:9000"
list = "127.0.0.1:9001"

[[operator]]
name = "ana"
tenant = "sacaria"
role = "publish"
token_sha256 = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
"#;

fn first_error(text: &str) -> String {
    Settings::parse("i-1.toml", text).expect_err("the file has an error")[0].to_string()
}

#[test]
fn parse_valid_file() {
    let settings = Settings::parse("i-1.toml", VALID).unwrap();
    assert_eq!(settings.stream, "hibiscusway");
    assert_eq!(settings.stop_ms, DEFAULT_STOP_MS);
    assert_eq!(settings.operators[0].role, Role::Publish);
}

#[test]
fn parse_host_name_as_address() {
    let error = first_error(&VALID.replace("127.0.0.1:9000", "log.example:9000"));
    assert!(
        error.starts_with("5004: i-1.toml: log: got \"log.example:9000\";"),
        "{error}"
    );
}

#[test]
fn parse_missing_zone() {
    let error = first_error(&VALID.replace("zone = \"a\"", ""));
    assert!(
        error.starts_with("5003: i-1.toml: zone: got nothing;"),
        "{error}"
    );
}

#[test]
fn parse_platform_operator_with_tenant() {
    let error = first_error(&VALID.replace("\"publish\"", "\"platform\""));
    assert!(
        error.contains("operator[0].tenant: got sacaria;"),
        "{error}"
    );
}

#[test]
fn parse_token_that_is_no_digest() {
    let error = first_error(&VALID.replace("0123456789abcdef0123456789abcdef0", "secret"));
    assert!(error.contains("operator[0].token_sha256"), "{error}");
}

/// Guards against instances that fail to start, or that announce an address nobody can reach.
#[test]
fn parse_own_addresses() {
    let cases = [
        (
            "127.0.0.1:8081",
            "127.0.0.1:8080",
            "5005: i-1.toml: peer: got 127.0.0.1:8080;",
        ),
        (
            "127.0.0.1:8082",
            "127.0.0.1:8081",
            "5005: i-1.toml: admin: got 127.0.0.1:8081;",
        ),
        (
            "127.0.0.1:8082",
            "0.0.0.0:8080",
            "5005: i-1.toml: admin: got 0.0.0.0:8080;",
        ),
        (
            "127.0.0.1:8080",
            "0.0.0.0:8080",
            "5004: i-1.toml: listen: got \"0.0.0.0:8080\";",
        ),
        (
            "127.0.0.1:8080",
            "127.0.0.1:0",
            "5004: i-1.toml: listen: got \"127.0.0.1:0\";",
        ),
    ];
    for (from, to, expected) in cases {
        let error = first_error(&VALID.replace(from, to));
        assert!(error.starts_with(expected), "{error}");
    }
    let unspecified = VALID.replace("127.0.0.1:8082", "0.0.0.0:8082");
    assert!(Settings::parse("i-1.toml", &unspecified).is_ok());
}

/// Guards against two operators with the same token, and against the digest of an empty one.
#[test]
fn parse_shared_or_empty_token() {
    let operator = VALID.split_once("[[operator]]").unwrap().1;
    let second = operator.replace("\"ana\"", "\"bea\"");
    let error = first_error(&format!("{VALID}\n[[operator]]{second}"));
    assert!(
        error.starts_with("5005: i-1.toml: operator[1].token_sha256: got bea;"),
        "{error}"
    );
    let digest = "0123456789abcdef".repeat(4);
    for empty in EMPTY_DIGESTS {
        let error = first_error(&VALID.replace(&digest, empty));
        assert!(
            error.starts_with("5004: i-1.toml: operator[0].token_sha256:"),
            "{error}"
        );
        assert!(!error.contains(empty), "{error}");
    }
}

#[test]
fn parse_too_many_operators() {
    let text = format!("{VALID}{}", "[[operator]]\n".repeat(MAX_OPERATORS));
    let error = first_error(&text);
    assert!(
        error.starts_with("5004: i-1.toml: operator: got 257;"),
        "{error}"
    );
}

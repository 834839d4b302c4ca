use super::*;

#[test]
fn parse_quoted_values_and_prefix() {
    let text =
        "   2.1544 edge instance=e-1 ts=2026Z level=warn event=x error=\"a \\\"b\\\" c=d\" n=1";
    let line = LogLine::parse(text).unwrap();
    assert_eq!(line.get("error"), Some("a \"b\" c=d"));
    assert_eq!(
        (line.get("n"), line.instance(), line.time()),
        (Some("1"), "e-1", "2026Z")
    );
}

#[test]
fn parse_other_text() {
    for text in ["", "no pairs here", "a=b but no such key", "event"] {
        assert!(LogLine::parse(text).is_none(), "{text:?}");
    }
}

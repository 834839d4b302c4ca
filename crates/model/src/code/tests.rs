//! Guards against numbers used twice and against codes that `docs/codes.md` does not list.

use super::*;

#[test]
fn numbers_are_ascending() {
    assert!(ALL_CODES.windows(2).all(|w| w[0].number() < w[1].number()));
}

#[test]
fn try_from_round_trip() {
    for code in ALL_CODES {
        assert_eq!(Code::try_from(code.number()), Ok(*code));
    }
    assert!(Code::try_from(1).is_err());
}

#[test]
fn outcome_by_thousands() {
    assert_eq!(Code::QueueFull.outcome(), Outcome::NotRun);
    assert_eq!(Code::UpstreamTimeout.outcome(), Outcome::Unknown);
    assert_eq!(Code::Served.outcome(), Outcome::Served);
}

#[test]
fn codes_page_lists_every_code() {
    let page = include_str!("../../../../docs/codes.md");
    for code in ALL_CODES {
        let row = format!("| {} | {} |", code.number(), code.text());
        assert!(page.contains(&row), "docs/codes.md lacks the row {row}");
    }
}

//! Guards against callers that are sent to another availability zone first, or to an instance that
//! is leaving.

use super::*;

fn entry(port: u16, zone: &str) -> EntryAddr {
    EntryAddr {
        addr: ([127, 0, 0, 1], port).into(),
        zone: zone.into(),
    }
}

fn ports(addresses: &[String]) -> Vec<&str> {
    let port = |a: &String| a.rsplit(':').next().unwrap().to_owned();
    let all: Vec<String> = addresses.iter().map(port).collect();
    let found = ["1", "2", "3", "4", "5"];
    all.iter()
        .filter_map(|p| found.iter().copied().find(|f| f == p))
        .collect()
}

fn entries() -> Vec<EntryAddr> {
    vec![
        entry(1, "a"),
        entry(2, "b"),
        entry(3, "c"),
        entry(4, "a"),
        entry(5, "b"),
    ]
}

#[test]
fn choose_own_zone_first() {
    let chosen = choose(&entries(), Some(&"b".into()), None);
    assert_eq!(ports(&chosen), ["2", "5", "1", "3"]);
}

#[test]
fn choose_unknown_zone() {
    assert_eq!(ports(&choose(&entries(), None, None)), ["1", "2", "3", "4"]);
}

#[test]
fn choose_without_leaving() {
    let excluded = Some(entry(2, "b").addr);
    let chosen = choose(&entries(), Some(&"b".into()), excluded);
    assert_eq!(ports(&chosen), ["5", "1", "3", "4"]);
}

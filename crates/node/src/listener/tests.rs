//! Guards against one caller that occupies all connections of an instance.

use super::*;

#[test]
fn add_limits_one_address() {
    let mut counts = ConnectionCounts::default();
    let (a, b) = (IpAddr::from([127, 0, 0, 1]), IpAddr::from([127, 0, 0, 2]));
    let first = counts.add(a, 2).unwrap();
    let _second = counts.add(a, 2).unwrap();
    assert!(counts.add(a, 2).is_none());
    assert!(counts.add(b, 2).is_some());
    drop(first);
    assert!(counts.add(a, 2).is_some());
}

#[test]
fn add_removes_unused_addresses() {
    let mut counts = ConnectionCounts::default();
    for i in 0..=u32::try_from(MAX_ADDRESSES).unwrap() {
        counts.add(IpAddr::from(i.to_be_bytes()), 1);
    }
    assert!(counts.by_addr.len() < MAX_ADDRESSES);
}

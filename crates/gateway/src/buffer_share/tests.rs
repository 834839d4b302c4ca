use super::*;

const MIB: u64 = 1_024 * 1_024;

/// Guards against targets that send without end and take all memory, or all that other responses
/// need.
#[test]
fn take_leaves_room_for_others() {
    let buffers = ResponseBuffers::default();
    let mut endless: Vec<BufferShare> = (0..20).map(|_| buffers.begin()).collect();
    for share in &mut endless {
        while share.take(16 * 1_024).is_ok() {}
    }
    assert!(buffers.used.get() <= MAX_TOTAL);
    endless.truncate(5);
    let mut usual = buffers.begin();
    assert_eq!(usual.take(MIB / 2), Ok(()), "after 5 endless ones");
    drop((endless, usual));
    assert_eq!(buffers.used.get(), 0);
    assert_eq!(buffers.begin().take(MAX_TOTAL / 2), Ok(()));
}

//! Guards against heads that are cut at the wrong byte, which would misplace the body.

use super::*;

#[test]
fn head_end_cases() {
    assert_eq!(head_end(b"GET / HTTP/1.1\r\n\r\nbody"), Some(18));
    assert_eq!(head_end(b"a\n\nb\r\n\r\n"), Some(3));
    assert_eq!(head_end(b"a\r\n\r"), None);
}

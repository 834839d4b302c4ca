//! Guards against request smuggling: heads that the instance and an upstream could interpret
//! differently.

use http_types::{Method, Url};

use super::*;

fn headers(pairs: &[(&str, &str)]) -> Headers {
    let mut req = Request::new(Method::Post, Url::parse("http://h/").unwrap());
    for (name, value) in pairs {
        req.append_header(*name, *value);
    }
    let headers: &Headers = req.as_ref();
    headers.clone()
}

#[test]
fn check_lines_accepts_plain() {
    assert!(check_lines(b"GET / HTTP/1.1\r\nhost: h\r\na: b\r\n\r\n").is_ok());
}

#[test]
fn check_lines_rejects() {
    let heads: [&[u8]; 6] = [
        b"GET / HTTP/1.1\r\nhost: h\n\r\n\r\n",
        b"GET / HTTP/1.1\nhost: h\r\n\r\n",
        b"GET / HTTP/1.1\r\na: b\r\n folded\r\n\r\n",
        b"GET / HTTP/1.1\r\na: b\rc: d\r\n\r\n",
        b"GET / HTTP/1.1\r\na: b\0\r\n\r\n",
        b"GET / HTTP/1.1\r\n\thost: h\r\n\r\n",
    ];
    for head in heads {
        let text = String::from_utf8_lossy(head);
        assert_eq!(check_lines(head), Err(Code::BadRequest), "{text:?}");
    }
}

#[test]
fn body_length_cases() {
    let length = |pairs: &[(&str, &str)]| body_length(&headers(pairs));
    assert_eq!(length(&[]), Ok(Length::Absent));
    assert_eq!(length(&[("content-length", "12")]), Ok(Length::Bytes(12)));
    let chunked = ("transfer-encoding", "chunked");
    assert_eq!(length(&[chunked]), Ok(Length::Chunked));
    assert!(length(&[("content-length", "1"), chunked]).is_err());
    assert!(length(&[("content-length", "1"), ("content-length", "2")]).is_err());
    assert!(length(&[("content-length", "+1")]).is_err());
    assert!(length(&[("content-length", "1, 1")]).is_err());
    assert!(length(&[("transfer-encoding", "gzip, chunked")]).is_err());
    assert!(length(&[chunked, chunked]).is_err());
}

#[test]
fn is_same_target_rejects_rewritten_paths() {
    let req = Request::new(Method::Get, Url::parse("http://h/b?x=1").unwrap());
    assert!(is_same_target(b"GET /b?x=1 HTTP/1.1\r\n", &req));
    assert!(is_same_target(b"GET http://h/b?x=1 HTTP/1.1\r\n", &req));
    assert!(!is_same_target(b"GET /a/../b?x=1 HTTP/1.1\r\n", &req));
    assert!(!is_same_target(b"GET /b?x=1&y HTTP/1.1\r\n", &req));
}

#[test]
fn has_header_by_name() {
    let raw = b"GET / HTTP/1.1\r\nHost: h\r\nx-date: 1\r\n\r\n";
    assert!(has_header(raw, "host"));
    assert!(!has_header(raw, "date"));
}

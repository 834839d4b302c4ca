//! Responses made by the instance itself.

use http_types::{Response, StatusCode};
use model::Code;

/// The response to a call that got no answer from an upstream.
pub fn refusal(code: Code, retry_ms: u32) -> Response {
    let mut response = Response::new(status(code));
    mark(&mut response, code);
    if retry_ms > 0 {
        response.insert_header("retry-after", retry_ms.div_ceil(1_000).to_string());
        response.insert_header("hw-retry-after-ms", retry_ms.to_string());
    }
    response.set_body(format!("{code}\n"));
    response
}

/// Adds the result code and what the caller may conclude.
pub fn mark(response: &mut Response, code: Code) {
    response.insert_header("hw-code", code.number().to_string());
    response.insert_header("hw-outcome", code.outcome().as_str());
}

fn status(code: Code) -> StatusCode {
    match code {
        Code::UnknownService | Code::UnknownClass => StatusCode::NotFound,
        Code::RepeatedKey => StatusCode::Conflict,
        Code::HeadTooLarge => StatusCode::RequestHeaderFieldsTooLarge,
        Code::SlowSender => StatusCode::RequestTimeout,
        Code::FairShare => StatusCode::TooManyRequests,
        Code::UpstreamTimeout => StatusCode::GatewayTimeout,
        code if code.number() / 1_000 == 2 => StatusCode::BadRequest,
        code if code.number() / 1_000 == 3 => StatusCode::ServiceUnavailable,
        _ => StatusCode::BadGateway,
    }
}

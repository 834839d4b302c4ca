//! Responses that the instance makes itself, and the `hw-*` headers of all responses.

use http_types::{Response, StatusCode};
use model::Code;
use wire::KeyState;

/// Returns the response that the instance makes for a call without a response from an upstream.
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

/// Returns the response to a call whose idempotency key was used before. The header `hw-key-state`
/// contains the state of the first call.
pub fn repeated(state: KeyState) -> Response {
    let text = match state {
        KeyState::Running | KeyState::Fresh => "running",
        KeyState::Done => "done",
        KeyState::Unknown => "unknown",
    };
    let mut response = refusal(Code::RepeatedKey, 0);
    response.insert_header("hw-key-state", text);
    response.set_body(format!("{}, first call: {text}\n", Code::RepeatedKey));
    response
}

/// Adds the headers with the result code and the outcome.
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

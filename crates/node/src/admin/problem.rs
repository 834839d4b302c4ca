//! Error answers of the administration API.

use model::Code;
use serde::Serialize;
use tide::{Response, StatusCode};
use wire::ErrorBody;

/// Why a request got no ordinary answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Result code.
    pub code: Code,
    /// What is wrong, and what would be accepted.
    pub detail: String,
}

impl Problem {
    /// A problem with its explanation.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
        }
    }

    /// The error answer.
    pub fn response(self) -> Response {
        let status = status(self.code);
        let body = ErrorBody {
            code: self.code,
            detail: self.detail,
        };
        let mut response = json(status, &body);
        if status == StatusCode::Unauthorized {
            response.insert_header("www-authenticate", "Bearer");
        }
        response
    }
}

/// HTTP status of an answer with `code`.
pub fn status(code: Code) -> StatusCode {
    match code {
        Code::Accepted => StatusCode::Ok,
        Code::Pending => StatusCode::Accepted,
        Code::Unauthenticated => StatusCode::Unauthorized,
        Code::Forbidden | Code::OtherTenant => StatusCode::Forbidden,
        Code::UnknownProposal => StatusCode::NotFound,
        Code::BadAdminRequest => StatusCode::BadRequest,
        Code::SlowSender => StatusCode::RequestTimeout,
        Code::TooLarge | Code::RecordTooLarge => StatusCode::PayloadTooLarge,
        Code::AdminBusy | Code::NotReady => StatusCode::ServiceUnavailable,
        code if code.number() / 1_000 == 5 => StatusCode::UnprocessableEntity,
        _ => StatusCode::Conflict,
    }
}

/// An answer with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => Response::builder(status)
            .body(body)
            .content_type("application/json")
            .build(),
        Err(_) => Response::new(StatusCode::InternalServerError),
    }
}

//! Error responses of the administration API, and the mapping of result codes to HTTP statuses.

use model::Code;
use serde::Serialize;
use tide::{Response, StatusCode};
use wire::ErrorBody;

/// An error that the API responds with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiError {
    /// Result code.
    pub code: Code,
    /// What is wrong with the request, and what would be accepted.
    pub detail: String,
}

impl ApiError {
    /// Creates an error from its result code and an explanation.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
        }
    }

    /// Builds the error response.
    pub fn into_response(self) -> Response {
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

/// Returns the HTTP status of a response with result code `code`.
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
        Code::AdminBusy | Code::NotReady | Code::LogDown => StatusCode::ServiceUnavailable,
        code if code.number() / 1_000 == 5 => StatusCode::UnprocessableEntity,
        _ => StatusCode::Conflict,
    }
}

/// Builds a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => Response::builder(status)
            .body(body)
            .content_type("application/json")
            .build(),
        Err(_) => Response::new(StatusCode::InternalServerError),
    }
}

//! Authentication of operators by bearer token, and the permissions of each role.

use model::{Operator, Role, Tenant};
use sha2::{Digest, Sha256};

const DIGEST_BYTES: usize = 32;

/// The operators that may use the API, each with the SHA-256 digest of its token.
#[derive(Debug)]
pub struct Operators {
    token_digests: Vec<(Operator, [u8; DIGEST_BYTES])>,
}

impl Operators {
    /// Takes the operators from the settings. An operator whose `token_sha256` is not a digest in
    /// hexadecimal digits is left out and cannot authenticate.
    pub fn new(operators: &[Operator]) -> Self {
        let token_digests = operators
            .iter()
            .filter_map(|operator| Some((operator.clone(), parse_digest(&operator.token_sha256)?)))
            .collect();
        Self { token_digests }
    }

    /// Returns the operator whose token the `authorization` header holds. Compares every digest in
    /// full, so that the response time reveals nothing about how much of a digest matches.
    pub fn find(&self, authorization: Option<&str>) -> Option<&Operator> {
        let token = bearer_token(authorization?)?;
        let digest = Sha256::digest(token.as_bytes());
        let mut found = None;
        for (operator, expected) in &self.token_digests {
            if constant_time_eq(expected, &digest) {
                found = Some(operator);
            }
        }
        found
    }
}

/// Returns the token of a header such as `Bearer abc`. Ignores the case of the scheme.
fn bearer_token(header: &str) -> Option<&str> {
    let (scheme, token) = header.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}

/// Compares two digests in a time that does not depend on where they differ.
fn constant_time_eq(a: &[u8; DIGEST_BYTES], b: &[u8]) -> bool {
    let differing = a.iter().zip(b).fold(0, |sum, (a, b)| sum | (a ^ b));
    std::hint::black_box(differing) == 0 && a.len() == b.len()
}

/// Parses a digest in hexadecimal digits of either case.
fn parse_digest(hex: &str) -> Option<[u8; DIGEST_BYTES]> {
    let mut digest = [0; DIGEST_BYTES];
    if hex.len() != 2 * DIGEST_BYTES || !hex.is_ascii() {
        return None;
    }
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}

/// Returns whether the operator may read data of `tenant`. `None` stands for data of the platform,
/// such as changes of zones.
pub fn may_read(operator: &Operator, tenant: Option<&Tenant>) -> bool {
    operator.role == Role::Platform || (tenant.is_some() && operator.tenant.as_ref() == tenant)
}

/// Returns whether the operator may publish the configuration document of `tenant`.
pub fn may_publish(operator: &Operator, tenant: &Tenant) -> bool {
    operator.role == Role::Publish && operator.tenant.as_ref() == Some(tenant)
}

/// Returns whether the operator may take availability zones out of service and back.
pub fn may_change_zones(operator: &Operator) -> bool {
    operator.role == Role::Platform
}

//! Who is asking, and what each role permits.

use model::{Operator, Role, Tenant};
use sha2::{Digest, Sha256};

const DIGEST_BYTES: usize = 32;

/// Operators with the digests of their tokens.
#[derive(Debug)]
pub struct Operators {
    known: Vec<(Operator, [u8; DIGEST_BYTES])>,
}

impl Operators {
    /// The operators of the settings. One whose digest is not valid hex can never authenticate.
    pub fn new(operators: &[Operator]) -> Self {
        let known = operators
            .iter()
            .filter_map(|o| Some((o.clone(), parse_digest(&o.token_sha256)?)))
            .collect();
        Self { known }
    }

    /// The operator that an `authorization` header names. Every known digest is compared in full, so
    /// that the time does not depend on how much of a digest matches.
    pub fn find(&self, authorization: Option<&str>) -> Option<&Operator> {
        let token = bearer_token(authorization?)?;
        let digest = Sha256::digest(token.as_bytes());
        let mut found = None;
        for (operator, known) in &self.known {
            if equal(known, &digest) {
                found = Some(operator);
            }
        }
        found
    }
}

/// The token of a header such as `Bearer abc`; the scheme's case does not matter.
fn bearer_token(header: &str) -> Option<&str> {
    let (scheme, token) = header.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}

/// Compares without early exit.
fn equal(a: &[u8; DIGEST_BYTES], b: &[u8]) -> bool {
    let differing = a.iter().zip(b).fold(0, |sum, (a, b)| sum | (a ^ b));
    std::hint::black_box(differing) == 0 && a.len() == b.len()
}

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

/// Whether the operator may read what belongs to `tenant`. `None` stands for the platform.
pub fn may_read(operator: &Operator, tenant: Option<&Tenant>) -> bool {
    operator.role == Role::Platform || (tenant.is_some() && operator.tenant.as_ref() == tenant)
}

/// Whether the operator may publish the document of `tenant`.
pub fn may_publish(operator: &Operator, tenant: &Tenant) -> bool {
    operator.role == Role::Publish && operator.tenant.as_ref() == Some(tenant)
}

/// Whether the operator may take zones out and back.
pub fn may_change_zones(operator: &Operator) -> bool {
    operator.role == Role::Platform
}

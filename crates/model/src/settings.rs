//! Settings of one instance, read once at start from a TOML file.

use std::{collections::BTreeSet, net::SocketAddr};

use crate::{
    Code, ConfigError, Document, InstanceId, Operator, OperatorName, Region, Role, Tenant, Zone,
    config::parse_table, ids::is_valid_id,
};

const ID_RULE: &str = "1 to 64 letters, digits, '-', '_' or '.', the first a letter or digit";
const ADDR_RULE: &str = "an IP address and port, such as 127.0.0.1:8080";
const ROLE_RULE: &str = "read, publish or platform";
const TOKEN_RULE: &str = "64 lower-case hex digits, the SHA-256 of the token";

const OWN_ADDR_RULE: &str =
    "an IP address and port that others can connect to, such as 10.0.0.7:8080";
const NON_EMPTY_TOKEN_RULE: &str = "the SHA-256 of a token that is not empty";

/// SHA-256 of the empty text and of a single newline. Operators get these values when they hash an
/// unset variable.
const EMPTY_DIGESTS: [&str; 2] = [
    "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855",
    "01ba4719c80b6fe911b091a7c05124b64eeece964e09c058ef8f9805daca546b",
];
/// Largest number of operators in a settings file. The token of each administration
/// request is compared with those of all operators.
pub const MAX_OPERATORS: usize = 256;
/// Default number of traffic threads. One thread serves about 10,500 calls/s of a core, two about
/// 7,300 each, because they wake each other; 130,000 calls/s over 16 instances are about 8,100
/// each.
const DEFAULT_THREADS: u64 = 1;
/// Largest number of traffic threads.
const MAX_THREADS: u64 = 64;
/// Default time limit of a planned stop, in milliseconds.
const DEFAULT_STOP_MS: u64 = 30_000;
/// Largest configurable time limit of a planned stop, in milliseconds.
const MAX_STOP_MS: u64 = 600_000;

/// The settings of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the instance, unique in the deployment.
    pub instance: InstanceId,
    /// Availability zone that the instance runs in.
    pub zone: Zone,
    /// Region that the zone belongs to.
    pub region: Region,
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Address that other instances connect to.
    pub peer: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Address of the platform's log service.
    pub log: SocketAddr,
    /// Stream of the log service that holds the system's records.
    pub stream: String,
    /// Address of the platform's instance list.
    pub list: SocketAddr,
    /// Address that statsd metrics are sent to, if any.
    pub statsd: Option<SocketAddr>,
    /// Number of traffic threads; 0 means one for each core.
    pub threads: u64,
    /// Time limit of a planned stop, in milliseconds.
    pub stop_ms: u64,
    /// Operators of the administration API.
    pub operators: Vec<Operator>,
}

impl Settings {
    /// Parses and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns every error of the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<ConfigError>> {
        let table = parse_table(file, text)?;
        let doc = Document::new(file, &table);
        let mut errors = Vec::new();
        let settings = parse_settings(&doc, &mut errors);
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(errors),
        }
    }
}

/// Keys that a settings file may have.
const KEYS: &[&str] = &[
    "instance", "zone", "region", "listen", "peer", "admin", "log", "stream", "list", "statsd",
    "threads", "stop_ms", "operator",
];

fn parse_settings(doc: &Document<'_>, errors: &mut Vec<ConfigError>) -> Option<Settings> {
    doc.check_keys(KEYS, errors);
    let instance = doc.text("instance", ID_RULE, is_valid_id, errors);
    let zone = doc.text("zone", ID_RULE, is_valid_id, errors);
    let region = doc.text("region", ID_RULE, is_valid_id, errors);
    let listen = own_address(doc, "listen", errors);
    let peer = own_address(doc, "peer", errors);
    let admin = address(doc, "admin", errors);
    check_distinct(
        doc,
        &[("listen", listen), ("peer", peer), ("admin", admin)],
        errors,
    );
    let log = address(doc, "log", errors);
    let stream = doc.optional_text("stream", ID_RULE, is_valid_id, errors);
    let list = address(doc, "list", errors);
    let statsd = doc.optional_text("statsd", ADDR_RULE, is_address, errors);
    let threads = doc.optional_number("threads", 0, MAX_THREADS, errors);
    let stop_ms = doc.optional_number("stop_ms", 0, MAX_STOP_MS, errors);
    let operators = parse_operators(doc, errors);
    Some(Settings {
        instance: InstanceId::new(instance?),
        zone: Zone::new(zone?),
        region: Region::new(region?),
        listen: listen?,
        peer: peer?,
        admin: admin?,
        log: log?,
        stream: stream.unwrap_or("hibiscusway").to_owned(),
        list: list?,
        statsd: statsd.and_then(|s| s.parse().ok()),
        threads: threads.unwrap_or(DEFAULT_THREADS),
        stop_ms: stop_ms.unwrap_or(DEFAULT_STOP_MS),
        operators,
    })
}

/// Returns whether `text` is an IP address and port, and the port is not 0.
fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok_and(|a| a.port() != 0)
}

/// Returns whether `text` is an address that the instance can announce to others. An unspecified
/// address is not, because others cannot connect to it.
fn is_own_address(text: &str) -> bool {
    is_address(text)
        && text
            .parse::<SocketAddr>()
            .is_ok_and(|a| !a.ip().is_unspecified())
}

fn own_address(doc: &Document<'_>, key: &str, errors: &mut Vec<ConfigError>) -> Option<SocketAddr> {
    let text = doc.text(key, OWN_ADDR_RULE, is_own_address, errors)?;
    text.parse().ok()
}

/// Adds an error for each address of the instance that overlaps with an earlier one, because the
/// instance could not bind both.
fn check_distinct(
    doc: &Document<'_>,
    addresses: &[(&str, Option<SocketAddr>)],
    errors: &mut Vec<ConfigError>,
) {
    for (index, (key, addr)) in addresses.iter().enumerate() {
        let Some(addr) = addr else {
            continue;
        };
        let conflict = addresses[..index]
            .iter()
            .find(|(_, other)| other.is_some_and(|other| overlap(addr, &other)));
        if let Some((other, _)) = conflict {
            let allowed = format!("an address that {other} does not use");
            errors.push(doc.error(Code::Duplicate, key, addr, &allowed));
        }
    }
}

/// Returns whether two addresses cannot both be bound.
fn overlap(a: &SocketAddr, b: &SocketAddr) -> bool {
    let unspecified = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && (unspecified || a.ip() == b.ip())
}

fn address(doc: &Document<'_>, key: &str, errors: &mut Vec<ConfigError>) -> Option<SocketAddr> {
    doc.text(key, ADDR_RULE, is_address, errors)?.parse().ok()
}

fn parse_operators(doc: &Document<'_>, errors: &mut Vec<ConfigError>) -> Vec<Operator> {
    let mut names = BTreeSet::new();
    let mut tokens = BTreeSet::new();
    let mut operators = Vec::new();
    for table in doc.tables("operator", MAX_OPERATORS, errors) {
        let Some(operator) = parse_operator(&table, errors) else {
            continue;
        };
        if !names.insert(operator.name.clone()) {
            let allowed = "a name not used by another operator";
            errors.push(table.error(Code::Duplicate, "name", &operator.name, allowed));
        }
        if !tokens.insert(operator.token_sha256.clone()) {
            let allowed = "a token not used by another operator";
            errors.push(table.error(Code::Duplicate, "token_sha256", &operator.name, allowed));
        }
        operators.push(operator);
    }
    operators
}

fn parse_operator(doc: &Document<'_>, errors: &mut Vec<ConfigError>) -> Option<Operator> {
    doc.check_keys(&["name", "tenant", "role", "token_sha256"], errors);
    let name = doc.text("name", ID_RULE, is_valid_id, errors);
    let tenant = doc.optional_text("tenant", ID_RULE, is_valid_id, errors);
    let role = doc.text("role", ROLE_RULE, |r| parse_role(r).is_some(), errors);
    let token = doc.text("token_sha256", TOKEN_RULE, is_sha256, errors);
    if token.is_some_and(|t| EMPTY_DIGESTS.contains(&t)) {
        errors.push(doc.error(
            Code::BadValue,
            "token_sha256",
            "the digest of an empty token",
            NON_EMPTY_TOKEN_RULE,
        ));
    }
    let role = role.and_then(parse_role)?;
    let has_tenant = tenant.is_some();
    if has_tenant == (role == Role::Platform) {
        let allowed = "a tenant for roles read and publish, none for role platform";
        errors.push(doc.error(
            Code::BadValue,
            "tenant",
            tenant.unwrap_or("nothing"),
            allowed,
        ));
    }
    Some(Operator {
        name: OperatorName::new(name?),
        tenant: tenant.map(Tenant::new),
        role,
        token_sha256: token?.to_owned(),
    })
}

fn parse_role(text: &str) -> Option<Role> {
    match text {
        "read" => Some(Role::Read),
        "publish" => Some(Role::Publish),
        "platform" => Some(Role::Platform),
        _ => None,
    }
}

fn is_sha256(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}

#[cfg(test)]
mod tests;

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

/// Largest number of traffic threads.
const MAX_THREADS: u64 = 64;
/// Default limit on the time that a planned stop may take.
const DEFAULT_STOP_MS: u64 = 30_000;
/// Largest limit on the time that a planned stop may take.
const MAX_STOP_MS: u64 = 600_000;

/// What a process learns from its settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the instance, unique in the deployment.
    pub instance: InstanceId,
    /// Availability zone that it runs in.
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
    /// Traffic threads; 0 means one for each core.
    pub threads: u64,
    /// Limit on the time that a planned stop may take, in milliseconds.
    pub stop_ms: u64,
    /// Operators of the administration API.
    pub operators: Vec<Operator>,
}

impl Settings {
    /// Parses and checks a settings file.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with the file.
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

const KEYS: &[&str] = &[
    "instance", "zone", "region", "listen", "peer", "admin", "log", "stream", "list", "statsd",
    "threads", "stop_ms", "operator",
];

fn parse_settings(doc: &Document<'_>, errors: &mut Vec<ConfigError>) -> Option<Settings> {
    doc.check_keys(KEYS, errors);
    let instance = doc.text("instance", ID_RULE, is_valid_id, errors);
    let zone = doc.text("zone", ID_RULE, is_valid_id, errors);
    let region = doc.text("region", ID_RULE, is_valid_id, errors);
    let listen = address(doc, "listen", errors);
    let peer = address(doc, "peer", errors);
    let admin = address(doc, "admin", errors);
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
        threads: threads.unwrap_or(0),
        stop_ms: stop_ms.unwrap_or(DEFAULT_STOP_MS),
        operators,
    })
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}

fn address(doc: &Document<'_>, key: &str, errors: &mut Vec<ConfigError>) -> Option<SocketAddr> {
    doc.text(key, ADDR_RULE, is_address, errors)?.parse().ok()
}

fn parse_operators(doc: &Document<'_>, errors: &mut Vec<ConfigError>) -> Vec<Operator> {
    let mut names = BTreeSet::new();
    let mut operators = Vec::new();
    for table in doc.tables("operator", errors) {
        let Some(operator) = parse_operator(&table, errors) else {
            continue;
        };
        if !names.insert(operator.name.clone()) {
            let allowed = "a name not used by another operator";
            errors.push(table.error(Code::Duplicate, "name", &operator.name, allowed));
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

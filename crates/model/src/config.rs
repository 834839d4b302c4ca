//! A tenant's configuration document and its checks. The whole document is checked before any of it
//! is used, and every error is reported, not just the first.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use toml::{Table, Value};

use crate::{
    Class, ClassName, Code, ConfigError, Document, MAX_DELAY_MS, MAX_TARGET_MS, MAX_TIMEOUT_MS,
    MovePlan, Service, ServiceName, Version, Wall, duration::default_timeout_ms, ids::is_valid_id,
};

/// Largest configuration document in bytes. The document must fit in one log record.
pub const MAX_CONFIG_BYTES: usize = 48 * 1024;

/// Largest number of services in a document. The whole platform is expected to grow to 33 services.
pub const MAX_SERVICES: usize = 64;
/// Largest number of classes of a service.
pub const MAX_CLASSES: usize = 16;
/// Longest syntax error that is reported, in characters. The parser's message quotes the line of
/// the document.
const MAX_SYNTAX_CHARS: usize = 400;

/// Description of valid identifiers for error messages.
const ID_RULE: &str =
    "1 to 64 letters, digits, '-', '_' or '.', the first of them a letter or digit";
/// Description of valid times for error messages.
const TIME_RULE: &str = "a date and time with offset, such as 2026-12-05T10:00:00Z";

/// Configuration of one tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Services in document order.
    pub services: Vec<Service>,
    /// Moves that the tenant requests.
    pub moves: Vec<MovePlan>,
}

impl Config {
    /// Parses and checks a document. Errors name it as `file`.
    ///
    /// # Errors
    ///
    /// Returns every error of the document, in document order.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<ConfigError>> {
        let table = parse_table(file, text)?;
        let doc = Document::new(file, &table);
        let mut errors = Vec::new();
        doc.check_keys(&["service", "move"], &mut errors);
        let services = parse_services(&doc, &mut errors);
        let moves = parse_moves(&doc, &services, &mut errors);
        if errors.is_empty() {
            Ok(Self { services, moves })
        } else {
            Err(errors)
        }
    }

    /// Returns the service called `name`.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|s| s.name == *name)
    }
}

/// Parses `text` as TOML after a check of its size.
pub(crate) fn parse_table(file: &str, text: &str) -> Result<Table, Vec<ConfigError>> {
    let error = |code, value: String, allowed: &str| {
        vec![ConfigError {
            code,
            file: file.to_owned(),
            key: "document".to_owned(),
            value,
            allowed: allowed.to_owned(),
        }]
    };
    if text.len() > MAX_CONFIG_BYTES {
        let allowed = format!("at most {MAX_CONFIG_BYTES} bytes");
        return Err(error(
            Code::TooLarge,
            format!("{} bytes", text.len()),
            &allowed,
        ));
    }
    text.parse::<Table>()
        .map_err(|e| error(Code::Syntax, one_line(&e.to_string()), "valid TOML"))
}

/// Returns the parser's message as one line of limited length without control characters.
fn one_line(message: &str) -> String {
    let control_to_space = |c: char| if c.is_control() { ' ' } else { c };
    let line = message.trim().chars().take(MAX_SYNTAX_CHARS);
    line.map(control_to_space).collect()
}

fn parse_services(doc: &Document<'_>, errors: &mut Vec<ConfigError>) -> Vec<Service> {
    let mut names = BTreeSet::new();
    let mut services = Vec::new();
    for table in doc.tables("service", MAX_SERVICES, errors) {
        let Some(service) = parse_service(&table, errors) else {
            continue;
        };
        if !names.insert(service.name.clone()) {
            let allowed = "a name not used by another service";
            errors.push(table.error(Code::Duplicate, "name", &service.name, allowed));
        }
        services.push(service);
    }
    services
}

fn parse_service(doc: &Document<'_>, errors: &mut Vec<ConfigError>) -> Option<Service> {
    doc.check_keys(&["name", "version", "class"], errors);
    let name = doc.text("name", ID_RULE, is_valid_id, errors);
    let version = doc.text("version", ID_RULE, is_valid_id, errors);
    let classes = parse_classes(doc, errors);
    Some(Service {
        name: ServiceName::new(name?),
        version: Version::new(version?),
        classes,
    })
}

fn parse_classes(doc: &Document<'_>, errors: &mut Vec<ConfigError>) -> Vec<Class> {
    let earlier_errors = errors.len();
    let tables = doc.tables("class", MAX_CLASSES, errors);
    if tables.is_empty() && errors.len() == earlier_errors {
        errors.push(doc.error(Code::MissingKey, "class", "nothing", "at least one class"));
    }
    let mut names = BTreeSet::new();
    let mut classes = Vec::new();
    for table in tables {
        let Some(class) = parse_class(&table, errors) else {
            continue;
        };
        if !names.insert(class.name.clone()) {
            let allowed = "a name not used by another class of the service";
            errors.push(table.error(Code::Duplicate, "name", &class.name, allowed));
        }
        classes.push(class);
    }
    classes
}

fn parse_class(doc: &Document<'_>, errors: &mut Vec<ConfigError>) -> Option<Class> {
    doc.check_keys(
        &["name", "target_ms", "delay_ms", "idempotent", "timeout_ms"],
        errors,
    );
    let name = doc.text("name", ID_RULE, is_valid_id, errors);
    let target_ms = doc.number("target_ms", 1, MAX_TARGET_MS, errors);
    let delay_ms = doc.number("delay_ms", 0, MAX_DELAY_MS, errors);
    let idempotent = doc.flag("idempotent", errors);
    let timeout_ms = doc.optional_number("timeout_ms", 1, MAX_TIMEOUT_MS, errors);
    let target_ms = target_ms?;
    let delay_ms = delay_ms?;
    if delay_ms > target_ms {
        let allowed = format!("at most target_ms, which is {target_ms}");
        errors.push(doc.error(Code::BadValue, "delay_ms", delay_ms, &allowed));
    }
    if timeout_ms.is_some_and(|t| t < target_ms) {
        let allowed = format!("at least target_ms, which is {target_ms}");
        errors.push(doc.error(Code::BadValue, "timeout_ms", timeout_ms?, &allowed));
    }
    Some(Class {
        name: ClassName::new(name?),
        target_ms,
        delay_ms,
        idempotent: idempotent?,
        timeout_ms: timeout_ms.unwrap_or_else(|| default_timeout_ms(target_ms)),
    })
}

fn parse_moves(
    doc: &Document<'_>,
    services: &[Service],
    errors: &mut Vec<ConfigError>,
) -> Vec<MovePlan> {
    let mut moving_services = BTreeSet::new();
    let mut moves = Vec::new();
    for table in doc.tables("move", MAX_SERVICES, errors) {
        let Some(plan) = parse_move(&table, errors) else {
            continue;
        };
        if !services.iter().any(|s| s.name == plan.service) {
            let allowed = "a service of this document";
            errors.push(table.error(Code::Dangling, "service", &plan.service, allowed));
        }
        if !moving_services.insert(plan.service.clone()) {
            let allowed = "one move for each service";
            errors.push(table.error(Code::Duplicate, "service", &plan.service, allowed));
        }
        moves.push(plan);
    }
    moves
}

fn parse_move(doc: &Document<'_>, errors: &mut Vec<ConfigError>) -> Option<MovePlan> {
    doc.check_keys(&["service", "version", "deadline", "retry"], errors);
    let service = doc.text("service", ID_RULE, is_valid_id, errors);
    let version = doc.text("version", ID_RULE, is_valid_id, errors);
    let deadline = parse_deadline(doc, errors);
    let retry = doc.optional_flag("retry", errors);
    Some(MovePlan {
        service: ServiceName::new(service?),
        version: Version::new(version?),
        deadline: deadline?,
        retry: retry?,
    })
}

fn parse_deadline(doc: &Document<'_>, errors: &mut Vec<ConfigError>) -> Option<Wall> {
    let value = doc.required("deadline", TIME_RULE, errors)?;
    let Value::Datetime(time) = value else {
        return doc.reject("deadline", value, TIME_RULE, errors);
    };
    match unix_ms(time) {
        Some(ms) => Some(Wall(ms)),
        None => doc.reject("deadline", value, TIME_RULE, errors),
    }
}

/// Converts a date and time with a UTC offset to milliseconds since the Unix epoch. Returns `None`
/// if a component is missing or the time is before 1970.
fn unix_ms(time: &toml::value::Datetime) -> Option<u64> {
    let date = time.date?;
    let clock = time.time?;
    let offset_min = match time.offset? {
        toml::value::Offset::Z => 0,
        toml::value::Offset::Custom { minutes } => i64::from(minutes),
    };
    let days = days_from_epoch(
        i64::from(date.year),
        i64::from(date.month),
        i64::from(date.day),
    );
    let hours = days * 24 + i64::from(clock.hour);
    let minutes = hours * 60 + i64::from(clock.minute) - offset_min;
    let seconds = minutes * 60 + i64::from(clock.second);
    let ms = seconds * 1_000 + i64::from(clock.nanosecond / 1_000_000);
    u64::try_from(ms).ok()
}

/// Returns the days from 1970-01-01 to a date of the Gregorian calendar. Years start in March, so
/// that the leap day is the last day of a year.
fn days_from_epoch(year: i64, month: i64, day: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let month_from_march = (month + 9) % 12;
    let day_of_year = (153 * month_from_march + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    era * 146_097 + day_of_era - 719_468
}

#[cfg(test)]
mod tests;

//! Parsers for command-line options of the examples.

use std::{fmt::Display, ops::RangeInclusive, str::FromStr};

use crate::load::Customer;

/// Largest load that an option accepts, in percent of the slot capacity.
const MAX_LOAD_PERCENT: f64 = 300.0;

/// Loads in percent of the slot capacity, given in one option. `argh` would treat a plain `Vec` as
/// an option that may be given several times.
#[derive(Clone, Debug)]
pub struct Loads(pub Vec<f64>);

/// Returns the customer with a name.
///
/// # Errors
///
/// Returns an error if there is no such customer.
pub fn parse_customer(text: &str) -> Result<Customer, String> {
    Customer::by_name(text)
        .ok_or_else(|| format!("{text:?} is not a customer; allowed: lemovka, sacaria"))
}

/// Parses loads in percent, separated by commas.
///
/// # Errors
///
/// Returns an error if one of them is not a number from 1 to 300.
pub fn parse_loads(text: &str) -> Result<Loads, String> {
    let parts = text.split(',');
    let loads: Result<_, _> = parts
        .map(|p| parse_within(p, 1.0..=MAX_LOAD_PERCENT))
        .collect();
    loads.map(Loads)
}

/// Parses a number and checks its bounds.
///
/// # Errors
///
/// Returns an error if the text is not a number or the number is out of bounds.
pub fn parse_within<T>(text: &str, allowed: RangeInclusive<T>) -> Result<T, String>
where
    T: FromStr + PartialOrd + Display,
{
    let (low, high) = (allowed.start(), allowed.end());
    let parsed = text.trim().parse::<T>().ok();
    parsed
        .filter(|value| allowed.contains(value))
        .ok_or_else(|| format!("{text:?} is not a number from {low} to {high}"))
}

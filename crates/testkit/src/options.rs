//! Checked values of command-line options of the examples.

use std::{fmt::Display, ops::RangeInclusive, str::FromStr};

use crate::load::Customer;

/// Largest load in percent of slot capacity.
const MAX_LOAD: f64 = 300.0;

/// Loads in percent of slot capacity. A type of its own, because `argh` takes a plain `Vec` for an
/// option that is repeated.
#[derive(Clone, Debug)]
pub struct Loads(pub Vec<f64>);

/// A customer by name.
///
/// # Errors
///
/// If there is none of that name.
pub fn parse_customer(text: &str) -> Result<Customer, String> {
    Customer::named(text)
        .ok_or_else(|| format!("{text:?} is not a customer; allowed: lemovka, sacaria"))
}

/// Loads in percent, separated by commas.
///
/// # Errors
///
/// If one is no number from 1 to 300.
pub fn parse_loads(text: &str) -> Result<Loads, String> {
    let parts = text.split(',');
    let loads: Result<_, _> = parts.map(|p| parse_within(p, 1.0..=MAX_LOAD)).collect();
    loads.map(Loads)
}

/// A number within bounds.
///
/// # Errors
///
/// If it is no number or out of bounds.
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

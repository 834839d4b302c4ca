//! Passes the operator's records from one instance to another. An instance asks those that have said that they
//! know more, then the store and others, the next one as soon as the one before is late: what many have does not
//! depend on a single one.

mod answer;
mod ask;

pub use answer::{RECORDS_PATH, answer};
pub use ask::ask_all;

//! Unit tests of one dispatcher. Each states the failure that it guards against.

mod admission;
mod bed;
mod choice;
mod claims;
mod invariants;
mod loans;
mod retries;
mod rollout;

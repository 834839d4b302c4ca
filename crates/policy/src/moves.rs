//! Compares the two versions of a move. Instances exchange counters of calls; each instance merges
//! them and decides by itself whether the new version is worse than the old one.

mod assessment;
mod comparison;
mod evidence;
mod rate_test;
mod scope_comparison;
mod side;
mod slow_thresholds;
mod sprt;

pub use self::{
    assessment::Assessment,
    comparison::{VersionComparison, assess},
    evidence::{Evidence, MAX_ROUTES, OTHER_ROUTE},
    side::Side,
    slow_thresholds::SlowThresholds,
};

//! Evidence about a version move and the tests that assess it. Counters travel between instances; each
//! instance judges on its own from the merged counters.

mod assessment;
mod check;
mod comparison;
mod evidence;
mod line;
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

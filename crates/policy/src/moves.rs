//! Evidence about a version move and the tests that judge it. Counters travel between instances; each
//! instance judges on its own from the merged counters.

mod check;
mod evidence;
mod line;
mod opinion;
mod side;
mod slow_bar;
mod sprt;
mod trial;

pub use self::{
    evidence::{Evidence, MAX_ROUTES, OTHER_ROUTE},
    opinion::Opinion,
    side::Side,
    slow_bar::SlowBar,
    trial::{Trial, judge},
};

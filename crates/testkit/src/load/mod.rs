//! Load tool: customers' shapes, planned arrivals, open-loop runs, figures, and the ideal limit.

mod arrivals;
mod class_load;
mod customer;
mod figures;
mod ideal;
mod plan;
mod plot;
mod run;
mod sample;
mod table;

pub use self::{
    arrivals::{Arrival, plan_arrivals},
    class_load::ClassLoad,
    customer::{Customer, ServiceShape},
    figures::{Figures, by_class, figures_of},
    ideal::{IdealFaults, run_ideal},
    plan::{Bursts, Plan},
    plot::{Series, plot_latency},
    run::{callers, run_load},
    sample::Sample,
    table::{json_line, print_table},
};

//! Load tool: services of the customers, planned arrivals, open-loop runs, statistics and a
//! simulation of the best possible result.

mod arrivals;
mod class_load;
mod customer;
mod ideal;
mod plan;
mod plot;
mod run;
mod sample;
mod summary;
mod table;

pub use self::{
    arrivals::{Arrival, plan_arrivals},
    class_load::ClassLoad,
    customer::{Customer, ServiceProfile},
    ideal::{IdealFaults, simulate_ideal},
    plan::{Bursts, Plan},
    plot::{Series, plot_latency},
    run::{create_callers, run_load},
    sample::Sample,
    summary::{ClassSummary, summarize, summarize_by_class},
    table::{json_line, print_table},
};

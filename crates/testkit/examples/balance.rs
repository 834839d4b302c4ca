//! Measures latency over load: real instances against stand-in upstreams in one process, next to the
//! ideal limit of a central queue with perfect knowledge for the same arrivals and service times.

#![allow(
    clippy::cast_precision_loss,
    reason = "figures are shown with few digits"
)]

use std::{
    error::Error,
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use argh::FromArgs;
use async_std::task;
use serde_json::{Value, json};
use testkit::{
    Cluster, ClusterSpec, ColdStart, UpstreamCounts, UpstreamFaults,
    load::{
        Bursts, ClassSummary, Customer, IdealFaults, Plan, Sample, Series, create_callers,
        json_line, plan_arrivals, plot_latency, print_table, run_load, simulate_ideal,
        summarize_by_class,
    },
    options::{Loads, parse_customer, parse_loads, parse_within},
};
use wire::EntryState;

/// Targets of each service that have the fault, at most half of them.
const FAULTY: usize = 3;
/// Factor on the service times of slow targets.
const SLOWDOWN: f64 = 5.0;
/// Load of the noisy caller, as part of the slot capacity.
const NOISE: f64 = 0.5;
/// Lag of the stale list.
const LAG: Duration = Duration::from_secs(5);
/// Pause between runs, so that leftovers of one do not reach the next.
const PAUSE: Duration = Duration::from_secs(1);

/// Load before measuring, as part of the slot capacity.
const WARM_LOAD: f64 = 0.5;
/// Its length.
const WARM_SECONDS: f64 = 4.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    Slow,
    Noisy,
    FailFast,
    Cold,
    StaleList,
    Bursts,
}

/// Latency over load, against the ideal limit.
#[derive(Debug, FromArgs)]
struct Args {
    /// customer, lemovka or sacaria; both if not given
    #[argh(option, from_str_fn(parse_customer))]
    customer: Option<Customer>,

    /// loads in percent of slot capacity, separated by commas
    #[argh(
        option,
        from_str_fn(parse_loads),
        default = "Loads(vec![70.0, 85.0, 95.0, 130.0])"
    )]
    loads: Loads,

    /// seeds per load, 1 to 100
    #[argh(option, from_str_fn(parse_seeds), default = "3")]
    seeds: u64,

    /// seconds per run, 1 to 600
    #[argh(option, from_str_fn(parse_seconds), default = "4.0")]
    seconds: f64,

    /// instances, 1 to 16
    #[argh(option, from_str_fn(parse_instances), default = "16")]
    instances: usize,

    /// fault: none, slow, noisy, fail-fast, cold, stale-list or bursts
    #[argh(option, from_str_fn(parse_fault), default = "Fault::None")]
    fault: Fault,

    /// directory for the plots, one file for each customer
    #[argh(option, default = "PathBuf::from(\"target/balance\")")]
    svg: PathBuf,

    /// print JSON lines instead of tables
    #[argh(switch)]
    json: bool,
}

fn parse_seeds(text: &str) -> Result<u64, String> {
    parse_within(text, 1..=100)
}

fn parse_seconds(text: &str) -> Result<f64, String> {
    parse_within(text, 1.0..=600.0)
}

fn parse_instances(text: &str) -> Result<usize, String> {
    parse_within(text, 1..=16)
}

fn parse_fault(text: &str) -> Result<Fault, String> {
    match text {
        "none" => Ok(Fault::None),
        "slow" => Ok(Fault::Slow),
        "noisy" => Ok(Fault::Noisy),
        "fail-fast" => Ok(Fault::FailFast),
        "cold" => Ok(Fault::Cold),
        "stale-list" => Ok(Fault::StaleList),
        "bursts" => Ok(Fault::Bursts),
        _ => Err(format!(
            "{text:?} is not a fault; allowed: none, slow, noisy, fail-fast, cold, stale-list, bursts"
        )),
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match task::block_on(run(&args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("balance: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &Args) -> Result<(), Box<dyn Error>> {
    let both = || {
        ["lemovka", "sacaria"]
            .into_iter()
            .filter_map(Customer::by_name)
    };
    let customers = args
        .customer
        .clone()
        .map_or_else(|| both().collect(), |c| vec![c]);
    for customer in customers {
        run_customer(args, Arc::new(customer)).await?;
    }
    Ok(())
}

async fn run_customer(args: &Args, customer: Arc<Customer>) -> Result<(), Box<dyn Error>> {
    let spec = ClusterSpec {
        customer: Arc::clone(&customer),
        instances: args.instances,
        version: "v1",
        seed: 1,
    };
    let mut cluster = Cluster::start(spec).await?;
    set_fault(&mut cluster, &customer, args.fault);
    warm_up(&customer, &cluster).await;
    let mut rows = Vec::new();
    for load in &args.loads.0 {
        rows.push((
            *load,
            run_load_point(args, &customer, &cluster, *load).await,
        ));
    }
    let path = args
        .svg
        .join(format!("{}-{:?}.svg", customer.name, args.fault).to_lowercase());
    plot(&path, &customer, args.fault, &rows)?;
    Ok(())
}

/// Serves for a while, unmeasured: upstreams are cold for instances that have just started.
async fn warm_up(customer: &Arc<Customer>, cluster: &Cluster) {
    let plan = Plan::steady(WARM_LOAD, WARM_SECONDS, 0);
    let callers = create_callers(customer, &plan, &cluster.instance_addrs(), 0);
    let arrivals = plan_arrivals(customer, &plan);
    run_load(customer, &arrivals, &callers, "warm").await;
    task::sleep(PAUSE).await;
}

/// Measured and ideal figures of each class.
type Point = (Vec<ClassSummary>, Vec<ClassSummary>);

async fn run_load_point(
    args: &Args,
    customer: &Arc<Customer>,
    cluster: &Cluster,
    load: f64,
) -> Point {
    let mut measured = Vec::new();
    let mut ideal = Vec::new();
    let before = cluster.counts(|_| true);
    for seed in 1..=args.seeds {
        let plan = plan(args, load, seed);
        let arrivals = plan_arrivals(customer, &plan);
        if args.fault == Fault::Cold {
            turn_cold(cluster, customer);
        }
        let callers = create_callers(customer, &plan, &cluster.instance_addrs(), 0);
        let tag = format!("{load}-{seed}");
        let samples = run_load(customer, &arrivals, &callers, &tag).await;
        measured.extend(without_noise(&plan, samples));
        let samples = simulate_ideal(customer, &arrivals, ideal_faults(args.fault));
        ideal.extend(without_noise(&plan, samples));
        task::sleep(PAUSE).await;
    }
    let after = cluster.counts(|_| true);
    let point = (
        summarize_by_class(customer, &measured),
        summarize_by_class(customer, &ideal),
    );
    print_point(
        args,
        customer,
        load,
        &point,
        &cost(before, after, &measured),
    );
    point
}

fn plan(args: &Args, load: f64, seed: u64) -> Plan {
    let mut plan = Plan::steady(load / 100.0, args.seconds, seed);
    if args.fault == Fault::Noisy {
        plan.noisy_load = NOISE;
    }
    if args.fault == Fault::Bursts {
        plan.bursts = Some(Bursts {
            interval_ms: 1_000,
            duration_ms: 100,
            factor: 3.0,
        });
    }
    plan
}

/// Samples of all but the noisy caller.
fn without_noise(plan: &Plan, samples: Vec<Sample>) -> impl Iterator<Item = Sample> {
    let noisy = plan.callers;
    samples
        .into_iter()
        .filter(move |s| s.arrival.caller != noisy)
}

/// Upstream work beyond the calls that were served, and refusals by upstreams.
fn cost(before: UpstreamCounts, after: UpstreamCounts, measured: &[Sample]) -> Value {
    let ran = after.ran - before.ran;
    let served = measured.iter().filter(|s| s.is_served()).count();
    let mut late: Vec<u64> = measured.iter().map(|s| s.late_us).collect();
    late.sort_unstable();
    json!({
        "tool_late_p99_us": late.get(late.len() * 99 / 100),
        "upstream_ran": ran,
        "served": served,
        "upstream_refused": after.refused - before.refused,
        "upstream_cancelled": after.cancelled - before.cancelled,
        "cold_over": after.over_cold_limit - before.over_cold_limit,
        "probes": after.probes - before.probes,
    })
}

fn print_point(args: &Args, customer: &Customer, load: f64, point: &Point, cost: &Value) {
    let run = |kind: &str| {
        json!({
            "bench": "balance",
            "customer": customer.name,
            "load": load,
            "fault": format!("{:?}", args.fault),
            "seeds": args.seeds,
            "seconds": args.seconds,
            "instances": args.instances,
            "kind": kind,
            "cost": cost,
        })
    };
    if args.json {
        for (kind, rows) in [("measured", &point.0), ("ideal", &point.1)] {
            for row in rows {
                println!("{}", json_line(&run(kind), row));
            }
        }
        return;
    }
    println!(
        "\n{} at {load}% of slot capacity, fault {:?}, {} seeds of {} s, {} instances",
        customer.name, args.fault, args.seeds, args.seconds, args.instances
    );
    print_table(&point.0);
    println!("ideal central queue:");
    print_table(&point.1);
    println!("upstreams: {cost}");
}

fn faulty(customer: &Customer, cluster: &Cluster, last: bool) -> Vec<usize> {
    let mut chosen = Vec::new();
    for shape in &customer.services {
        let own = cluster.targets.iter().enumerate().filter(|(_, t)| {
            t.entry
                .service
                .as_ref()
                .is_some_and(|s| s.as_str() == shape.name)
        });
        let mut own: Vec<usize> = own.map(|(index, _)| index).collect();
        if last {
            own.reverse();
        }
        chosen.extend(own.into_iter().take(FAULTY.min(shape.targets / 2)));
    }
    chosen
}

fn set_fault(cluster: &mut Cluster, customer: &Customer, fault: Fault) {
    let chosen = faulty(customer, cluster, fault != Fault::Slow);
    let faults = match fault {
        Fault::Slow => UpstreamFaults {
            slowdown: SLOWDOWN,
            ..UpstreamFaults::default()
        },
        Fault::FailFast => UpstreamFaults {
            fail_fast: true,
            ..UpstreamFaults::default()
        },
        Fault::StaleList => UpstreamFaults {
            draining: true,
            ..UpstreamFaults::default()
        },
        _ => return,
    };
    if fault == Fault::StaleList {
        cluster.list.set_lag(LAG);
    }
    for index in chosen {
        cluster.targets[index].upstream.set_faults(faults);
        if fault == Fault::StaleList {
            cluster.set_target_state(index, EntryState::Leaving);
        }
    }
}

fn turn_cold(cluster: &Cluster, customer: &Customer) {
    for index in faulty(customer, cluster, true) {
        cluster.targets[index]
            .upstream
            .begin_cold_start(ColdStart::default());
    }
}

fn ideal_faults(fault: Fault) -> IdealFaults {
    match fault {
        Fault::Slow => IdealFaults {
            slow_targets: FAULTY,
            slowdown: SLOWDOWN,
            failed_targets: 0,
        },
        Fault::FailFast | Fault::StaleList => IdealFaults {
            failed_targets: FAULTY,
            ..IdealFaults::default()
        },
        _ => IdealFaults::default(),
    }
}

fn plot(
    path: &Path,
    customer: &Customer,
    fault: Fault,
    rows: &[(f64, Point)],
) -> Result<(), Box<dyn Error>> {
    let classes = rows.first().map_or(0, |(_, point)| point.0.len());
    let mut series = Vec::new();
    for class in 0..classes {
        for ideal in [false, true] {
            let pick = |point: &Point| {
                if ideal {
                    point.1[class].clone()
                } else {
                    point.0[class].clone()
                }
            };
            let points = rows
                .iter()
                .map(|(load, point)| (*load, pick(point).p99_us as f64 / 1e3));
            let kind = if ideal { ", ideal" } else { "" };
            series.push(Series {
                name: format!("{}{kind}", pick(&rows[0].1).name),
                points: points.collect(),
                is_ideal: ideal,
            });
        }
    }
    if let Some(dir) = path.parent() {
        fs::create_dir_all(dir)?;
    }
    let title = format!("{}: p99 over load, fault {fault:?}", customer.name);
    plot_latency(path, &title, &series)?;
    eprintln!("plot: {}", path.display());
    Ok(())
}

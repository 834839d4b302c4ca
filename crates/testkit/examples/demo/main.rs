//! A whole deployment in one process: three availability zones, 16 instances, both services of a
//! customer, all classes; a change, faults and departures under load; at the end tail latency by
//! class and each promise with what was measured.

#![allow(
    clippy::cast_precision_loss,
    reason = "figures are shown with few digits"
)]

mod checks;
mod phases;
mod promise;
mod seen;

use std::{
    error::Error,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use argh::FromArgs;
use async_std::task;
use serde_json::json;
use testkit::{
    Cluster, ClusterSpec,
    load::{
        Bursts, Customer, Plan, create_callers, json_line, plan_arrivals, print_table, run_load,
        summarize_by_class,
    },
    options::{parse_customer, parse_within},
};

use crate::{
    checks::{TAG, check_all},
    phases::Story,
    promise::{Promise, Verdict},
    seen::Seen,
};

/// Length of the load; the events take about as long.
const SECONDS: f64 = 31.0;
/// Time of steady service before the first event.
const STEADY: Duration = Duration::from_secs(2);
/// Time watched after an instance died.
const AFTER_KILL: Duration = Duration::from_secs(2);
/// Repeats that a caller allows itself after a call that was not run.
const REPEATS: u32 = 1;

/// A deployment in one process, with changes and faults under load.
#[derive(Debug, FromArgs)]
struct Args {
    /// customer, lemovka or sacaria
    #[argh(option, from_str_fn(parse_customer), default = "default_customer()")]
    customer: Customer,

    /// load in percent of slot capacity, 1 to 100
    #[argh(option, from_str_fn(parse_load), default = "45.0")]
    load: f64,

    /// instances, 4 to 16
    #[argh(option, from_str_fn(parse_instances), default = "16")]
    instances: usize,

    /// seed of arrivals and service times
    #[argh(option, default = "1")]
    seed: u64,

    /// print JSON lines instead of tables
    #[argh(switch)]
    json: bool,
}

fn default_customer() -> Customer {
    Customer::by_name("lemovka").expect("lemovka is a customer")
}

fn parse_load(text: &str) -> Result<f64, String> {
    parse_within(text, 1.0..=100.0)
}

fn parse_instances(text: &str) -> Result<usize, String> {
    parse_within(text, 4..=16)
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match task::block_on(run(&args)) {
        Ok((promises, violations)) => end(&promises, violations),
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn end(promises: &[Promise], violations: u64) -> ExitCode {
    let broken = violations > 0 || promises.iter().any(|p| p.verdict == Verdict::Broken);
    if broken {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

async fn run(args: &Args) -> Result<(Vec<Promise>, u64), Box<dyn Error>> {
    let story = Story::begin(args.json);
    let customer = Arc::new(args.customer.clone());
    let mut cluster = start(args, &customer).await?;
    story.tell(&format!(
        "{}: {} instances and {} upstreams in {:?}",
        customer.name,
        cluster.instances.len(),
        cluster.targets.len(),
        customer.zones
    ));
    let mut seen = Seen::default();
    let load = task::spawn(run_plan(
        args.load,
        args.seed,
        Arc::clone(&customer),
        cluster.instance_addrs(),
    ));
    let ended = Arc::new(AtomicBool::new(false));
    let service = customer.services[0].name;
    let offsets = phases::watch_offsets(cluster.instance_addrs(), service, Arc::clone(&ended));
    let offsets = task::spawn(offsets);
    run_events(&story, &mut cluster, &customer, &mut seen).await?;
    seen.samples = load.await;
    ended.store(true, Relaxed);
    seen.offset_back = offsets.await;
    seen.runs = cluster.run_counts();
    seen.counts = cluster.counts(|_| true);
    seen.violations = cluster.violations();
    story.tell("the load has ended");
    let promises = check_all(&customer, &seen);
    print(args, &customer, &seen, &promises);
    Ok((promises, seen.violations))
}

async fn start(args: &Args, customer: &Arc<Customer>) -> Result<Cluster, Box<dyn Error>> {
    let spec = ClusterSpec {
        customer: Arc::clone(customer),
        instances: args.instances,
        version: "v1",
        seed: args.seed,
    };
    Ok(Cluster::start(spec).await?)
}

/// Runs the load beside the events.
async fn run_plan(
    load: f64,
    seed: u64,
    customer: Arc<Customer>,
    entries: Vec<std::net::SocketAddr>,
) -> Vec<testkit::load::Sample> {
    let mut plan = Plan::steady(load / 100.0, SECONDS, seed);
    // Short bursts beyond the capacity, so that some calls are refused.
    plan.bursts = Some(Bursts {
        interval_ms: 5_000,
        duration_ms: 100,
        factor: 5.0,
    });
    let arrivals = plan_arrivals(&customer, &plan);
    let callers = create_callers(&customer, &plan, &entries, REPEATS);
    run_load(&customer, &arrivals, &callers, TAG).await
}

async fn run_events(
    story: &Story,
    cluster: &mut Cluster,
    customer: &Customer,
    seen: &mut Seen,
) -> Result<(), Box<dyn Error>> {
    let began = Instant::now();
    task::sleep(STEADY).await;
    phases::publish_change(story, cluster, customer, seen).await?;
    phases::send_wrong_answers(story, cluster);
    phases::drain_and_join_cold(story, cluster, customer, seen).await?;
    phases::roll_out_bad(story, cluster, customer, seen).await?;
    phases::leave_zone(story, cluster, customer, seen).await?;
    phases::kill_instance(story, cluster, customer).await;
    task::sleep(AFTER_KILL).await;
    phases::end_wrong_answers(story, cluster);
    phases::stop_planned(story, cluster, customer, seen).await?;
    story.tell(&format!(
        "all events took {:.1} s",
        began.elapsed().as_secs_f64()
    ));
    Ok(())
}

fn print(args: &Args, customer: &Customer, seen: &Seen, promises: &[Promise]) {
    let rows = summarize_by_class(customer, &seen.samples);
    if args.json {
        let run = json!({"bench": "demo", "customer": customer.name, "load": args.load,
            "seed": args.seed, "instances": args.instances});
        for row in &rows {
            println!("{}", json_line(&run, row));
        }
        for p in promises {
            let line = json!({"bench": "demo", "customer": customer.name, "promise": p.name,
                "verdict": p.verdict.as_str(), "seen": p.seen});
            println!("{line}");
        }
        println!(
            "{}",
            json!({"bench": "demo", "violations": seen.violations})
        );
        return;
    }
    println!("\ntail latency by class, from the intended send time, over all events:");
    print_table(&rows);
    let served = seen.samples.iter().filter(|s| s.is_served()).count();
    println!(
        "upstreams ran {} calls for {served} served, refused {}, saw {} cancelled\n\
         invariants violated at running instances: {}\n",
        seen.counts.ran, seen.counts.refused, seen.counts.cancelled, seen.violations
    );
    for p in promises {
        println!(
            "{:<4} {:<10} {}\n{:16}{}",
            p.name,
            p.verdict.as_str(),
            p.text,
            "",
            p.seen
        );
    }
}

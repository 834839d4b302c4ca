//! Measures changes on 16 instances in one process: how long a document takes to be in force
//! everywhere, how long a zone and a leaving upstream still get new work, and what control costs.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    reason = "figures are shown with few digits"
)]

use std::{
    error::Error,
    fs,
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

use argh::FromArgs;
use async_std::{net::TcpStream, task};
use hdrhistogram::Histogram;
use node::Token;
use testkit::{
    CallSpec, ChildInstance, Cluster, ClusterSpec, Target, built_binary, load,
    options::parse_within, query_addresses, send_call,
};
use wire::EntryState;

/// Time after which a change that is not in force everywhere ends the run.
const LIMIT: Duration = Duration::from_secs(30);
/// Pause between looks at the offsets in force: the resolution of the figures.
const LOOK: Duration = Duration::from_millis(2);
/// Time for which a zone or upstream that got no call is taken to get none: the largest list poll.
const QUIET: Duration = Duration::from_secs(3);
/// Kernel ticks per second in `/proc`, fixed in Linux's interface.
const TICKS: f64 = 100.0;

/// Time from a change to its effect on all instances, and the cost of control.
#[derive(Debug, FromArgs)]
struct Args {
    /// instances, 2 to 32
    #[argh(option, from_str_fn(parse_instances), default = "16")]
    instances: usize,

    /// documents to publish, 1 to 1000
    #[argh(option, from_str_fn(parse_changes), default = "200")]
    changes: usize,

    /// zones and upstreams to take out, 0 to 50 of each
    #[argh(option, from_str_fn(parse_rounds), default = "5")]
    rounds: usize,

    /// seconds of the idle part, 1 to 600
    #[argh(option, from_str_fn(parse_seconds), default = "10.0")]
    idle: f64,

    /// calls per second while zones and upstreams leave, 10 to 2000
    #[argh(option, from_str_fn(parse_rate), default = "400")]
    rate: u64,

    /// binary whose memory is measured as one more instance; the one built next to this example if
    /// not given
    #[argh(option)]
    binary: Option<PathBuf>,

    /// seed
    #[argh(option, default = "1")]
    seed: u64,
}

fn parse_instances(text: &str) -> Result<usize, String> {
    parse_within(text, 2..=32)
}

fn parse_changes(text: &str) -> Result<usize, String> {
    parse_within(text, 1..=1_000)
}

fn parse_rounds(text: &str) -> Result<usize, String> {
    parse_within(text, 0..=50)
}

fn parse_seconds(text: &str) -> Result<f64, String> {
    parse_within(text, 1.0..=600.0)
}

fn parse_rate(text: &str) -> Result<u64, String> {
    parse_within(text, 10..=2_000)
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match task::block_on(run(&args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("changes: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &Args) -> Result<(), Box<dyn Error>> {
    let customer = load::Customer::by_name("lemovka").ok_or("no such customer")?;
    let spec = ClusterSpec {
        customer: Arc::new(customer),
        instances: args.instances,
        version: "v1",
        seed: args.seed,
    };
    let mut cluster = Box::pin(Cluster::start(spec.clone())).await?;
    let binary = args.binary.clone().or_else(built_binary);
    let child = binary.map(|path| {
        let (log, list) = (cluster.log.addr(), cluster.list.addr());
        ChildInstance::start(&path, "child", spec.customer.zones[0], log, list)
    });
    let child = child.transpose()?;
    // Instances learn of each other within two polls of the list.
    task::sleep(Duration::from_secs(3)).await;
    println!("{} instances, seed {}", args.instances, args.seed);

    let idle = Usage::now(&cluster);
    task::sleep(Duration::from_secs_f64(args.idle)).await;
    idle.report(&cluster, "idle");

    let busy = Usage::now(&cluster);
    measure_changes(&mut cluster, &spec.customer, args.changes).await?;
    busy.report(&cluster, "changes");
    if let Some(child) = &child {
        println!(
            "memory of one instance, resident: {:.1} MB",
            child.resident_bytes()? as f64 / 1e6
        );
        println!(
            "cpu of that process so far: {:.2} s",
            child.cpu_time()?.as_secs_f64()
        );
    } else {
        println!("memory not measured: build the binary hibiscusway first");
    }
    drop(child);

    let stop = start_calls(&cluster, args.rate);
    task::sleep(Duration::from_secs(2)).await;
    measure_zones(&mut cluster, &spec.customer, args.rounds).await?;
    measure_leaving(&mut cluster, args.rounds).await?;
    stop.cancel();
    println!("violated invariants: {}", cluster.violations());
    Ok(())
}

/// Publishes documents one after the other, each accepted by the log before its time starts.
async fn measure_changes(
    cluster: &mut Cluster,
    customer: &load::Customer,
    changes: usize,
) -> Result<(), Box<dyn Error>> {
    let mut times = Histogram::<u64>::new(3)?;
    for number in 0..changes {
        let text = customer.config("v1", &format!("# {number}\n"));
        let offset = cluster.publish(&text).await?;
        let accepted = Instant::now();
        while !cluster
            .offsets()
            .await
            .iter()
            .all(|o| o.is_some_and(|o| o >= offset))
        {
            if accepted.elapsed() > LIMIT {
                return Err(format!("change {number} is not in force after {LIMIT:?}").into());
            }
            task::sleep(LOOK).await;
        }
        times.record(accepted.elapsed().as_micros() as u64)?;
    }
    println!(
        "accepted to in force everywhere, {changes} changes: p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
        times.value_at_quantile(0.5) as f64 / 1e3,
        times.value_at_quantile(0.99) as f64 / 1e3,
        times.max() as f64 / 1e3,
    );
    Ok(())
}

/// Calls to all instances in turn until the token is cancelled.
fn start_calls(cluster: &Cluster, rate: u64) -> Token {
    let stop = Token::new();
    let (cancel, entries) = (stop.clone(), cluster.instance_addrs());
    task::spawn(async move {
        let began = Instant::now();
        for number in 0..u64::MAX {
            if cancel.is_cancelled() {
                return;
            }
            let at = began + Duration::from_micros(number * 1_000_000 / rate);
            task::sleep(at.saturating_duration_since(Instant::now())).await;
            let entry = entries[number as usize % entries.len()];
            task::spawn(async move {
                let spec = CallSpec {
                    service: "orders",
                    class: "bulk-transfer",
                    path: "/",
                    body: b"",
                    headers: &[],
                };
                if let Ok(stream) = TcpStream::connect(entry).await {
                    let _ = Box::pin(send_call(stream, entry, &spec)).await;
                }
            });
        }
    });
    stop
}

async fn measure_zones(
    cluster: &mut Cluster,
    customer: &load::Customer,
    rounds: usize,
) -> Result<(), Box<dyn Error>> {
    let mut times = Vec::new();
    for round in 0..rounds {
        let zone = customer.zones[round % customer.zones.len()];
        let asked = Instant::now();
        cluster.set_zone(zone, true).await?;
        task::sleep(QUIET).await;
        times.push(last_start(cluster, |t| t.is_in_zone(zone), asked));
        cluster.set_zone(zone, false).await?;
        task::sleep(Duration::from_secs(2)).await;
    }
    report_times("zone out in the log to its last new call", times);
    Ok(())
}

/// Upstreams change their list entry; their answers do not say that they leave.
async fn measure_leaving(cluster: &mut Cluster, rounds: usize) -> Result<(), Box<dyn Error>> {
    let mut times = Vec::new();
    let listed = cluster.targets.iter().filter(|t| {
        let service = t.entry.service.as_ref();
        service.is_some_and(|s| s.as_str() == "orders")
    });
    let count = listed.count().min(rounds);
    for index in 0..count {
        let id = cluster.targets[index].entry.id.clone();
        let asked = Instant::now();
        cluster.set_target_state(index, EntryState::Leaving);
        task::sleep(QUIET).await;
        times.push(last_start(cluster, |t| t.entry.id == id, asked));
    }
    report_times("upstream listed as leaving to its last new call", times);
    let entry = *cluster.instance_addrs().first().ok_or("no instance")?;
    query_addresses(entry, "orders", "")
        .await
        .ok_or("no addresses at the end")?;
    Ok(())
}

/// Time from `since` to the last start of a call at the chosen targets; zero if there was none.
fn last_start(cluster: &Cluster, choose: impl Fn(&Target) -> bool, since: Instant) -> Duration {
    let chosen = cluster.targets.iter().filter(|t| choose(t));
    let last = chosen.filter_map(|t| t.upstream.last_start()).max();
    last.map_or(Duration::ZERO, |l| l.saturating_duration_since(since))
}

fn report_times(what: &str, mut times: Vec<Duration>) {
    times.sort();
    let ms = |at: usize| times.get(at).map_or(0.0, |t| t.as_secs_f64() * 1e3);
    let last = times.len().saturating_sub(1);
    println!(
        "{what}, {} times: median {:.0} ms, max {:.0} ms",
        times.len(),
        ms(last / 2),
        ms(last)
    );
}

/// Counters at one time.
struct Usage {
    at: Instant,
    bytes: Vec<(u64, u64)>,
    appends: u64,
    cpu: Vec<f64>,
}

impl Usage {
    fn now(cluster: &Cluster) -> Self {
        let nodes = cluster.instances.iter().filter_map(|i| i.node.as_ref());
        Self {
            at: Instant::now(),
            bytes: nodes.map(node::Node::peer_bytes).collect(),
            appends: cluster.log.append_requests(),
            cpu: control_cpu(),
        }
    }

    /// Prints what was used since.
    fn report(&self, cluster: &Cluster, part: &str) {
        let now = Self::now(cluster);
        let seconds = (now.at - self.at).as_secs_f64();
        let pairs = self.bytes.iter().zip(&now.bytes);
        let rates = pairs.map(|(a, b)| (b.0 - a.0 + b.1 - a.1) as f64 / seconds);
        let most = rates.fold(0.0, f64::max);
        let count = now.cpu.len().max(1) as f64;
        let cpu = now.cpu.iter().sum::<f64>() - self.cpu.iter().sum::<f64>();
        println!(
            "{part}, {seconds:.1} s: peer streams {most:.0} bytes/s sent and received by the busiest \
             instance, appends {:.1}/s, control threads {:.2}% of a core each",
            (now.appends - self.appends) as f64 / seconds,
            100.0 * cpu / count / seconds,
        );
    }
}

/// CPU time in seconds of each control thread of this process.
fn control_cpu() -> Vec<f64> {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Vec::new();
    };
    let stats = tasks.filter_map(|t| fs::read_to_string(t.ok()?.path().join("stat")).ok());
    stats.filter_map(|s| cpu_of_control(&s)).collect()
}

/// User and system time are fields 11 and 12 after the thread's name.
fn cpu_of_control(stat: &str) -> Option<f64> {
    let (name, rest) = stat.rsplit_once(')')?;
    if !name.ends_with("(control") {
        return None;
    }
    let fields: Vec<f64> = rest
        .split_whitespace()
        .map(|f| f.parse().unwrap_or(0.0))
        .collect();
    Some((fields.get(11)? + fields.get(12)?) / TICKS)
}

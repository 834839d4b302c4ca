//! Measures what an instance costs: time that it adds to a call, calls per second of one core, memory
//! for each connection and call. The instance is the shipped binary in a process of its own; load and
//! upstream run in this one.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    reason = "figures are shown with few digits"
)]

use std::{
    error::Error,
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use argh::FromArgs;
use async_std::{channel::unbounded, net::TcpStream, task};
use futures::future::join_all;
use hdrhistogram::Histogram;
use model::{OperatorName, Tenant, Wall};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp};
use serde_json::json;
use store::LogClient;
use testkit::{
    CallSpec, ChildInstance, ListServer, LogServer, Upstream, UpstreamSpec, built_binary,
    options::parse_within, query_addresses, send_call,
};
use wire::{Body, EntryKind, EntryState, ListEntry, Record};

const CONFIG: &str = r#"
[[service]]
name = "orders"
version = "v1"

[[service.class]]
name = "confirmation"
target_ms = 5000
delay_ms = 1000
idempotent = false
timeout_ms = 20000
"#;
/// Calls at a time, and their number, that make the instance take no upstream as cold any more.
const WARM_WORKERS: usize = 64;
const WARM_CALLS: usize = 300;
/// Time for the instance to start.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Calls on each path before measuring.
const WARM_UP: usize = 200;
/// Service time of calls that are to stay in progress, in microseconds.
const LONG_US: &str = "4000000";
/// Time for the last of them to reach the upstream.
const SPREAD: Duration = Duration::from_millis(300);
/// Pause between such calls. All at once overflow the upstream's queue of connections to accept.
const RAMP: Duration = Duration::from_millis(1);

/// Time, CPU and memory that an instance costs.
#[derive(Debug, FromArgs)]
struct Args {
    /// binary to measure; the one built next to this example if not given
    #[argh(option)]
    binary: Option<PathBuf>,

    /// seconds of each timed part, 1 to 600
    #[argh(option, from_str_fn(parse_seconds), default = "8.0")]
    seconds: f64,

    /// calls per second on both paths together while latency is measured, 10 to 20000
    #[argh(option, from_str_fn(parse_rate), default = "1000.0")]
    rate: f64,

    /// connections that call without pause while CPU time is measured, 1 to 1000
    #[argh(option, from_str_fn(parse_count), default = "32")]
    workers: usize,

    /// connections opened, and calls in progress, while memory is measured, 0 to
    /// 2000; 0 leaves that part out
    #[argh(option, from_str_fn(parse_connections), default = "400")]
    connections: usize,

    /// service time of the upstreams in microseconds, 0 to 1000000
    #[argh(option, from_str_fn(parse_service), default = "1000")]
    service_us: u32,

    /// upstreams, 1 to 1000; by default so many that no call waits for a slot
    #[argh(option, from_str_fn(parse_count), default = "64")]
    upstreams: usize,

    /// slots of each, 1 to 15: an instance opens at most 15 connections to one
    #[argh(option, from_str_fn(parse_slots), default = "15")]
    slots: u32,

    /// traffic threads of the instance, 1 to 64; one for each core if not given
    #[argh(option, from_str_fn(parse_threads), default = "0")]
    threads: u64,

    /// seed of the arrivals
    #[argh(option, default = "1")]
    seed: u64,

    /// print JSON lines instead of text
    #[argh(switch)]
    json: bool,
}

fn parse_seconds(text: &str) -> Result<f64, String> {
    parse_within(text, 1.0..=600.0)
}

fn parse_rate(text: &str) -> Result<f64, String> {
    parse_within(text, 10.0..=20_000.0)
}

fn parse_slots(text: &str) -> Result<u32, String> {
    parse_within(text, 1..=15)
}

fn parse_service(text: &str) -> Result<u32, String> {
    parse_within(text, 0..=1_000_000)
}

fn parse_count(text: &str) -> Result<usize, String> {
    parse_within(text, 1..=1_000)
}

fn parse_connections(text: &str) -> Result<usize, String> {
    parse_within(text, 0..=2_000)
}

fn parse_threads(text: &str) -> Result<u64, String> {
    parse_within(text, 1..=64)
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match task::block_on(run(&args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("overhead: {error}");
            ExitCode::FAILURE
        }
    }
}

/// What an instance needs around it.
struct Platform {
    log: LogServer,
    list: ListServer,
    upstreams: Vec<Upstream>,
    binary: PathBuf,
    threads: u64,
}

async fn run(args: &Args) -> Result<(), Box<dyn Error>> {
    let binary = args.binary.clone().or_else(built_binary).ok_or(
        "the binary was not built: run `cargo build --release -p hibiscusway` or pass --binary",
    )?;
    let platform = start_platform(args, binary).await?;
    let instance = platform.start("i-1").await?;
    warm_up(&instance).await;
    measure_idle(args, &instance).await?;
    measure_latency(args, &platform, &instance).await?;
    measure_cpu(args, &instance).await?;
    drop(instance);
    if args.connections == 0 {
        return Ok(());
    }
    let fresh = platform.start("i-2").await?;
    warm_up(&fresh).await;
    measure_memory(args, &fresh).await
}

async fn start_platform(args: &Args, binary: PathBuf) -> Result<Platform, Box<dyn Error>> {
    let log = LogServer::start().await;
    let list = ListServer::start().await;
    let mut upstreams = Vec::new();
    for number in 0..args.upstreams {
        upstreams.push(start_upstream(args.slots, &list, number).await);
    }
    let record = Record {
        id: "p-1".to_owned(),
        author: OperatorName::new("testkit"),
        at: Wall(0),
        body: Body::Config {
            tenant: Tenant::new("lemovka"),
            base: 0,
            text: CONFIG.to_owned(),
        },
    };
    let client = LogClient::new(log.addr(), "hibiscusway");
    client.append(vec![record.encode()?]).await?;
    Ok(Platform {
        log,
        list,
        upstreams,
        binary,
        threads: args.threads,
    })
}

async fn start_upstream(slots: u32, list: &ListServer, number: usize) -> Upstream {
    let upstream = Upstream::start(UpstreamSpec {
        slots,
        mean_us: 0.0,
        sigma: 0.0,
        seed: 1,
    })
    .await;
    list.put(ListEntry {
        id: format!("t-{number}"),
        kind: EntryKind::Upstream,
        zone: "a".into(),
        region: "region-1".into(),
        addr: upstream.addr(),
        peer: None,
        service: Some("orders".into()),
        version: Some("v1".into()),
        slots: Some(slots),
        state: EntryState::Live,
        incarnation: 1,
    });
    upstream
}

impl Platform {
    /// Starts an instance and waits until it serves.
    async fn start(&self, id: &str) -> Result<ChildInstance, Box<dyn Error>> {
        let (log, list) = (self.log.addr(), self.list.addr());
        let more = format!("threads = {}\n", self.threads);
        let child = ChildInstance::start_with_settings(&self.binary, id, "a", log, list, &more)?;
        let until = Instant::now() + START_LIMIT;
        while Instant::now() < until {
            let answer = query_addresses(child.addr, "orders", "a").await;
            if answer.is_some() && call(child.addr, None, "0").await.is_some() {
                return Ok(child);
            }
            task::sleep(Duration::from_millis(50)).await;
        }
        Err(format!("instance {id} did not serve within {START_LIMIT:?}").into())
    }
}

/// Calls until no upstream is cold for the instance.
async fn warm_up(instance: &ChildInstance) {
    let addr = instance.addr;
    let workers = (0..WARM_WORKERS).map(|_| {
        task::spawn(async move {
            let mut stream = None;
            for _ in 0..WARM_CALLS {
                stream = call(addr, stream, "1000").await;
            }
        })
    });
    join_all(workers).await;
}

/// A call on a given or new connection. Returns the connection if the call was served.
async fn call(addr: SocketAddr, stream: Option<TcpStream>, service_us: &str) -> Option<TcpStream> {
    let stream = match stream {
        Some(stream) => stream,
        None => TcpStream::connect(addr).await.ok()?,
    };
    stream.set_nodelay(true).ok()?;
    let spec = CallSpec {
        service: "orders",
        class: "confirmation",
        path: "/",
        body: &[b'r'; 256],
        headers: &[("x-service-us", service_us)],
    };
    let answer = Box::pin(send_call(stream.clone(), addr, &spec))
        .await
        .ok()?;
    (answer.status == 200).then_some(stream)
}

async fn measure_idle(args: &Args, instance: &ChildInstance) -> Result<(), Box<dyn Error>> {
    let before = instance.cpu_time()?;
    task::sleep(Duration::from_secs_f64(args.seconds)).await;
    let share = instance.cpu_time()?.saturating_sub(before).as_secs_f64() / args.seconds;
    let memory = instance.resident_bytes()?;
    if args.json {
        let line = json!({"bench": "overhead", "part": "idle", "core_share": share,
            "rss_bytes": memory, "seconds": args.seconds});
        println!("{line}");
    } else {
        println!(
            "idle, without peers: {:.2}% of a core, {:.1} MB resident",
            share * 100.0,
            memory as f64 / 1e6
        );
    }
    Ok(())
}

/// One way to the upstream.
struct Route {
    addr: SocketAddr,
    service_us: String,
    idle: Mutex<Vec<TcpStream>>,
    times: Mutex<Histogram<u64>>,
    failed: Mutex<u64>,
}

impl Route {
    fn new(addr: SocketAddr, service_us: u32) -> Result<Arc<Self>, Box<dyn Error>> {
        Ok(Arc::new(Self {
            addr,
            service_us: service_us.to_string(),
            idle: Mutex::default(),
            times: Mutex::new(Histogram::new_with_bounds(1, 60_000_000, 3)?),
            failed: Mutex::default(),
        }))
    }

    /// Runs a call that was due `at`.
    async fn run(&self, at: Instant) {
        let stream = lock(&self.idle).pop();
        let Some(stream) = call(self.addr, stream, &self.service_us).await else {
            *lock(&self.failed) += 1;
            return;
        };
        let us = at.elapsed().as_micros() as u64;
        lock(&self.times).saturating_record(us);
        lock(&self.idle).push(stream);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn measure_latency(
    args: &Args,
    platform: &Platform,
    instance: &ChildInstance,
) -> Result<(), Box<dyn Error>> {
    let routes = [
        Route::new(platform.upstreams[0].addr(), args.service_us)?,
        Route::new(instance.addr, args.service_us)?,
    ];
    for route in &routes {
        for _ in 0..WARM_UP {
            route.run(Instant::now()).await;
        }
        lock(&route.times).reset();
    }
    send_interleaved(args, &routes).await?;
    print_latency(args, &routes);
    Ok(())
}

/// Poisson arrivals, each on one of the two routes at random.
async fn send_interleaved(args: &Args, routes: &[Arc<Route>; 2]) -> Result<(), Box<dyn Error>> {
    let mut rng = StdRng::seed_from_u64(args.seed);
    let gaps = Exp::new(args.rate)?;
    let (alive, ended) = unbounded::<()>();
    let start = Instant::now();
    let mut at = 0.0;
    while at < args.seconds {
        at += gaps.sample(&mut rng);
        let due = start + Duration::from_secs_f64(at);
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            task::sleep(wait).await;
        }
        let route = Arc::clone(&routes[usize::from(rng.random_bool(0.5))]);
        let alive = alive.clone();
        task::spawn(async move {
            route.run(due).await;
            drop(alive);
        });
    }
    drop(alive);
    let _ = ended.recv().await;
    Ok(())
}

fn print_latency(args: &Args, routes: &[Arc<Route>; 2]) {
    let [direct, through] = routes.each_ref().map(|r| lock(&r.times).clone());
    let failed = routes.each_ref().map(|r| *lock(&r.failed));
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
        let (d, t) = (
            direct.value_at_quantile(quantile),
            through.value_at_quantile(quantile),
        );
        if args.json {
            let line = json!({"bench": "overhead", "part": "latency", "quantile": name,
                "direct_us": d, "through_us": t, "rate": args.rate, "service_us": args.service_us, "seed": args.seed,
                "seconds": args.seconds, "failed_direct": failed[0], "failed_through": failed[1],
                "calls_direct": direct.len(), "calls_through": through.len()});
            println!("{line}");
        } else {
            println!(
                "added to a call, {name}: {} us (direct {d} us, through the instance {t} us)",
                i128::from(t) - i128::from(d)
            );
        }
    }
    if !args.json {
        println!(
            "  {} calls direct, {} through; failed {} and {}",
            direct.len(),
            through.len(),
            failed[0],
            failed[1]
        );
    }
}

async fn measure_cpu(args: &Args, instance: &ChildInstance) -> Result<(), Box<dyn Error>> {
    let until = Instant::now() + Duration::from_secs_f64(args.seconds);
    let before = instance.cpu_time()?;
    let began = Instant::now();
    let addr = instance.addr;
    let workers = (0..args.workers)
        .map(|_| task::spawn(call_until(addr, args.service_us.to_string(), until)));
    let served: u64 = join_all(workers).await.into_iter().sum();
    let elapsed = began.elapsed().as_secs_f64();
    let cpu = instance.cpu_time()?.saturating_sub(before).as_secs_f64();
    let per_core = served as f64 / cpu.max(f64::MIN_POSITIVE);
    if args.json {
        let line = json!({"bench": "overhead", "part": "cpu", "calls": served,
            "calls_per_s": served as f64 / elapsed, "cpu_s": cpu,
            "calls_per_core_s": per_core, "workers": args.workers, "service_us": args.service_us});
        println!("{line}");
    } else {
        println!(
            "calls per second of one core: {per_core:.0} ({served} calls in {elapsed:.1} s used {cpu:.1} s of CPU)"
        );
    }
    Ok(())
}

/// Calls without pause on one connection; returns how many were served.
async fn call_until(addr: SocketAddr, service_us: String, until: Instant) -> u64 {
    let mut served = 0;
    let mut stream = None;
    while Instant::now() < until {
        stream = call(addr, stream, &service_us).await;
        served += u64::from(stream.is_some());
    }
    served
}

async fn measure_memory(args: &Args, instance: &ChildInstance) -> Result<(), Box<dyn Error>> {
    let addr = instance.addr;
    let mut warm = None;
    for _ in 0..WARM_UP {
        warm = call(addr, warm, "0").await;
    }
    let before = instance.resident_bytes()?;
    let mut open = Vec::new();
    for _ in 0..args.connections {
        open.push(call(addr, None, "0").await);
    }
    let with_connections = instance.resident_bytes()?;
    let mut calls = Vec::new();
    for stream in open {
        calls.push(task::spawn(call(addr, stream, LONG_US)));
        task::sleep(RAMP).await;
    }
    task::sleep(SPREAD).await;
    let with_calls = instance.resident_bytes()?;
    let served = join_all(calls).await.iter().flatten().count();
    if served < args.connections {
        let text = "not all calls were served, so fewer were in progress: lower --connections";
        return Err(format!("{served} of {}: {text}", args.connections).into());
    }
    let each = |more: u64, less: u64| more.saturating_sub(less) / args.connections as u64;
    let connection = each(with_connections, before);
    let in_progress = each(with_calls, with_connections);
    if args.json {
        let line = json!({"bench": "overhead", "part": "memory", "connections": args.connections,
            "bytes_per_connection": connection, "bytes_per_call": in_progress, "served": served});
        println!("{line}");
    } else {
        println!(
            "memory: {connection} bytes per open connection, {in_progress} more per call in progress ({served} of {} served)",
            args.connections
        );
    }
    Ok(())
}

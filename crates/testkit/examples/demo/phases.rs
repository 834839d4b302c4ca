//! The events of the demo, in order, while the load goes on.

use std::{
    error::Error,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use async_std::{net::TcpStream, task};
use futures::future::join_all;
use testkit::{
    BadVersion, CallSpec, ChildInstance, Cluster, ColdStart, ResponseFault, UpstreamCounts,
    UpstreamFaults, built_binary, load::Customer, query_addresses, send_call,
};
use wire::{Body, EntryState, Record};

use crate::seen::{BadRun, Change, Leaving, Seen, Stop};

/// Time after which leaving upstreams and zones get no new work.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);
/// Time for which new work is counted before and after.
const WATCH: Duration = Duration::from_millis(1_500);
/// Lag of the instance list behind a draining upstream.
const LIST_LAG: Duration = Duration::from_secs(1);
/// Of how many answers of one upstream one is wrong.
const WRONG_EVERY: u64 = 20;
/// Time for the bad version to be found.
const BAD_LIMIT: Duration = Duration::from_secs(6);
/// Time for which a stopped version is watched.
const BAD_WATCH: Duration = Duration::from_millis(2_500);
/// Deadline of the rollout.
const ROLLOUT: Duration = Duration::from_secs(20);
/// Class that the published change adds.
const NEW_CLASS: &str = "audit";
/// Result code of an instance without configuration.
const NOT_READY: u16 = 3_007;
/// Time for a planned stop: list lag, the longest address answer, and the last call.
const STOP_LIMIT: Duration = Duration::from_secs(8);

type Done = Result<(), Box<dyn Error>>;

/// Prints what happens and when.
pub struct Story {
    start: Instant,
    quiet: bool,
}

impl Story {
    pub fn begin(quiet: bool) -> Self {
        Self {
            start: Instant::now(),
            quiet,
        }
    }

    pub fn tell(&self, text: &str) {
        if !self.quiet {
            println!("{:>6.1} s  {text}", self.start.elapsed().as_secs_f64());
        }
    }
}

/// Publishes a document with a further class and asks all instances for it.
pub async fn publish_change(
    story: &Story,
    cluster: &mut Cluster,
    customer: &Customer,
    seen: &mut Seen,
) -> Done {
    story.tell("a changed configuration is published");
    let text = with_class(customer, "");
    let offset = cluster.publish(&text).await?;
    let reached = cluster
        .wait_for_offset(offset, Duration::from_secs(8))
        .await;
    let calls = cluster
        .instance_addrs()
        .into_iter()
        .map(|addr| knows_class(addr, customer));
    let known = join_all(calls).await;
    let change = Change {
        offset_after: reached.ok(),
        known: known.iter().filter(|s| **s).count(),
        instances: known.len(),
    };
    story.tell(&format!(
        "in force at all instances after {:?}, {} of {} know the new class",
        change.offset_after, change.known, change.instances
    ));
    seen.change = Some(change);
    Ok(())
}

fn with_class(customer: &Customer, more: &str) -> String {
    // The class belongs to the document's last service.
    let class = format!(
        "[[service.class]]\nname = \"{NEW_CLASS}\"\ntarget_ms = 2000\ndelay_ms = 1000\nidempotent = true\n\n"
    );
    customer.config("v1", &format!("{class}{more}"))
}

/// Whether an instance knows the new class. A refusal under load does not count against it.
async fn knows_class(addr: SocketAddr, customer: &Customer) -> bool {
    let service = customer.services.last().map_or("", |s| s.name);
    let spec = CallSpec {
        service,
        class: NEW_CLASS,
        path: "/",
        body: b"audit",
        headers: &[],
    };
    let Ok(stream) = TcpStream::connect(addr).await else {
        return false;
    };
    let answer = Box::pin(send_call(stream, addr, &spec)).await;
    let code = answer.ok().and_then(|a| a.code);
    code.is_some_and(|code| code / 1_000 != 2 && code != NOT_READY)
}

/// Wrong answers of three upstreams, until they are ended.
pub fn send_wrong_answers(story: &Story, cluster: &Cluster) {
    story.tell("three upstreams answer wrongly at times: crossed, short, twice");
    let kinds = [
        ResponseFault::PreviousCall,
        ResponseFault::Truncated,
        ResponseFault::Duplicated,
    ];
    for (target, kind) in cluster.targets.iter().zip(kinds) {
        target.upstream.set_faults(UpstreamFaults {
            response_fault: Some(kind),
            fault_interval: WRONG_EVERY,
            ..UpstreamFaults::default()
        });
    }
}

/// Ends the wrong answers. An instance closes the caller's connection after a short one, which would
/// look like a call that the planned stop cut.
pub fn end_wrong_answers(story: &Story, cluster: &Cluster) {
    story.tell("the wrong answers end");
    for target in cluster.targets.iter().take(3) {
        target.upstream.set_faults(UpstreamFaults::default());
    }
}

/// Drains one upstream, while others join cold.
pub async fn drain_and_join_cold(
    story: &Story,
    cluster: &mut Cluster,
    customer: &Customer,
    seen: &mut Seen,
) -> Done {
    let index = 5;
    story.tell(&format!(
        "upstream {} drains",
        cluster.targets[index].entry.id
    ));
    let from = cluster.targets[index].upstream.counts();
    task::sleep(WATCH).await;
    let before = offered(cluster.targets[index].upstream.counts()) - offered(from);
    cluster.targets[index].upstream.set_faults(UpstreamFaults {
        draining: true,
        ..UpstreamFaults::default()
    });
    let first_cold = cluster.targets.len();
    join_cold(story, cluster, customer).await;
    task::sleep(LIST_LAG).await;
    cluster.set_target_state(index, EntryState::Leaving);
    task::sleep(LEAVE_LIMIT.saturating_sub(LIST_LAG)).await;
    let from = cluster.targets[index].upstream.counts();
    task::sleep(WATCH).await;
    let after = offered(cluster.targets[index].upstream.counts()) - offered(from);
    seen.draining = Some(Leaving { before, after });
    for target in &cluster.targets[first_cold..] {
        seen.cold.add(target.upstream.counts());
    }
    story.tell(&format!(
        "draining upstream: {before} calls before, {after} after 3 s; joined cold: {} calls",
        seen.cold.ran
    ));
    Ok(())
}

async fn join_cold(story: &Story, cluster: &mut Cluster, customer: &Customer) {
    story.tell("three cold upstreams join");
    for zone in customer.zones {
        let shape = &customer.services[0];
        let id = format!("{}-cold-{zone}", shape.name);
        cluster
            .add_cold_target(&id, zone, shape, "v1", ColdStart::default())
            .await;
    }
}

const fn offered(counts: UpstreamCounts) -> u64 {
    counts.ran + counts.refused
}

/// Rolls a version out that fails half of its calls.
pub async fn roll_out_bad(
    story: &Story,
    cluster: &mut Cluster,
    customer: &Customer,
    seen: &mut Seen,
) -> Done {
    let shape = &customer.services[0];
    for (number, zone) in customer.zones.iter().cycle().take(6).enumerate() {
        let id = format!("{}-v2-{number}", shape.name);
        cluster.add_target(&id, zone, shape, "v2").await;
        if let Some(target) = cluster.targets.last() {
            target.upstream.set_faults(half_failing());
        }
    }
    let began = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let deadline = rfc3339(began + ROLLOUT);
    let rollout = format!(
        "[[move]]\nservice = \"{}\"\nversion = \"v2\"\ndeadline = {deadline}\n",
        shape.name
    );
    let known = cluster.records().len();
    let before = service_ran(cluster, shape.name);
    cluster.publish(&with_class(customer, &rollout)).await?;
    story.tell("a version that fails half of its calls is rolled out");
    let stopped = wait_stopped(cluster, known).await;
    if stopped.is_some() {
        task::sleep(BAD_WATCH).await;
    }
    let is_bad = |t: &testkit::Target| t.has_version("v2");
    let last = cluster.targets.iter().filter(|t| is_bad(t));
    let last = last.filter_map(|t| t.upstream.last_start()).max();
    let first = seen_first(cluster);
    let bad = BadRun {
        ran: cluster.counts(is_bad).ran,
        all: service_ran(cluster, shape.name) - before,
        stopped_after: stopped.map(|s| s.saturating_duration_since(first.unwrap_or(s))),
        last_after: match (stopped, last) {
            (Some(stopped), Some(last)) => last.saturating_duration_since(stopped),
            _ => Duration::ZERO,
        },
    };
    story.tell(&format!("bad version: {bad:?}"));
    seen.bad = Some(bad);
    cluster.publish(&with_class(customer, "")).await?;
    Ok(())
}

fn half_failing() -> UpstreamFaults {
    UpstreamFaults {
        bad_version: Some(BadVersion {
            error_rate: 0.5,
            slowdown: 1.0,
            path: None,
            min_running: 0,
        }),
        ..UpstreamFaults::default()
    }
}

fn service_ran(cluster: &Cluster, service: &str) -> u64 {
    let own = |t: &testkit::Target| {
        t.entry
            .service
            .as_ref()
            .is_some_and(|s| s.as_str() == service)
    };
    cluster.counts(own).ran
}

/// When the bad version's first call started.
fn seen_first(cluster: &Cluster) -> Option<Instant> {
    let bad = cluster.targets.iter().filter(|t| t.has_version("v2"));
    bad.filter_map(|t| t.upstream.first_start()).min()
}

/// Waits for the record that stops the bad version or takes it back.
async fn wait_stopped(cluster: &Cluster, known: usize) -> Option<Instant> {
    let until = Instant::now() + BAD_LIMIT;
    while Instant::now() < until {
        let records = cluster.records();
        let new = records.iter().skip(known);
        let decoded = new.filter_map(|entry| Record::decode(&entry.data).ok());
        let mut ends =
            decoded.filter(|r| matches!(r.body, Body::Stop { .. } | Body::Verdict { .. }));
        if ends.next().is_some() {
            return Some(Instant::now());
        }
        task::sleep(Duration::from_millis(20)).await;
    }
    None
}

/// A time as RFC 3339 in UTC, with whole seconds.
fn rfc3339(since_epoch: Duration) -> String {
    let (days, second) = (
        since_epoch.as_secs() / 86_400,
        since_epoch.as_secs() % 86_400,
    );
    let (mut year, mut day) = (1970, days);
    let leap = |y: u64| y.is_multiple_of(4) && (!y.is_multiple_of(100) || y.is_multiple_of(400));
    while day >= 365 + u64::from(leap(year)) {
        day -= 365 + u64::from(leap(year));
        year += 1;
    }
    let lengths = [
        31,
        28 + u64::from(leap(year)),
        31,
        30,
        31,
        30,
        31,
        31,
        30,
        31,
        30,
        31,
    ];
    let mut month = 0;
    while day >= lengths[month] {
        day -= lengths[month];
        month += 1;
    }
    format!(
        "{year:04}-{:02}-{:02}T{:02}:{:02}:{:02}Z",
        month + 1,
        day + 1,
        second / 3_600,
        second / 60 % 60,
        second % 60
    )
}

/// Takes an availability zone out and back.
pub async fn leave_zone(
    story: &Story,
    cluster: &mut Cluster,
    customer: &Customer,
    seen: &mut Seen,
) -> Done {
    let zone = customer.zones[1];
    let ran = |cluster: &Cluster| offered(cluster.counts(|t| t.is_in_zone(zone)));
    let from = ran(cluster);
    task::sleep(WATCH).await;
    let before = ran(cluster) - from;
    cluster.set_zone(zone, true).await?;
    story.tell(&format!("zone {zone} is taken out"));
    task::sleep(LEAVE_LIMIT).await;
    let from = ran(cluster);
    task::sleep(WATCH).await;
    let after = ran(cluster) - from;
    seen.zone = Some(Leaving { before, after });
    cluster.set_zone(zone, false).await?;
    story.tell(&format!(
        "{before} calls before, {after} after 3 s; the zone is back"
    ));
    Ok(())
}

/// Ends an instance that serves callers, as the death of its process would.
pub async fn kill_instance(story: &Story, cluster: &mut Cluster, customer: &Customer) {
    let entry = cluster.instance_addrs().first().copied();
    let Some(entry) = entry else {
        return;
    };
    let service = customer.services[0].name;
    let answer = query_addresses(entry, service, customer.zones[0]).await;
    let home = answer
        .and_then(|a| a.addresses.first().copied())
        .unwrap_or(entry);
    for instance in cluster.instances.iter_mut().filter(|i| i.addr == home) {
        story.tell(&format!("instance {} is killed", instance.id));
        instance.kill();
    }
}

/// Stops an instance in a process of its own as planned, while calls go to it.
pub async fn stop_planned(
    story: &Story,
    cluster: &Cluster,
    customer: &Customer,
    seen: &mut Seen,
) -> Done {
    let Some(binary) = built_binary() else {
        story.tell("no binary was built: the planned stop is left out");
        return Ok(());
    };
    let (log, list) = (cluster.log.addr(), cluster.list.addr());
    let zone = customer.zones[2];
    let mut child = ChildInstance::start(&binary, "i-child", zone, log, list)?;
    let service = customer.services[0].name;
    let until = Instant::now() + Duration::from_secs(4);
    let mut last_answer = None;
    while last_answer.is_none() && Instant::now() < until {
        last_answer = query_addresses(child.addr, service, zone).await;
        task::sleep(Duration::from_millis(50)).await;
    }
    let Some(answer) = last_answer else {
        return Err("the instance in a process of its own did not start".into());
    };
    // Callers that got this answer may use it for its whole age.
    let until = Instant::now() + Duration::from_millis(answer.max_age_ms);
    let stopping = Arc::new(AtomicBool::new(false));
    let spec = (child.addr, service, customer.services[0].classes[0].name);
    let workers = (0..8).map(|_| task::spawn(call_until(spec, until, Arc::clone(&stopping))));
    let workers: Vec<_> = workers.collect();
    task::sleep(Duration::from_millis(300)).await;
    child.terminate()?;
    stopping.store(true, Relaxed);
    story.tell("an instance in a process of its own gets SIGTERM");
    let ends = join_all(workers).await;
    let status = wait_end(&mut child).await?;
    let stop = Stop {
        calls: ends.iter().map(|e| e.0).sum(),
        cut: ends.iter().map(|e| e.1).sum(),
        status,
    };
    story.tell(&format!("planned stop: {stop:?}"));
    seen.stop = Some(stop);
    Ok(())
}

async fn wait_end(
    child: &mut ChildInstance,
) -> Result<Option<std::process::ExitStatus>, std::io::Error> {
    let until = Instant::now() + STOP_LIMIT;
    while Instant::now() < until {
        if let Some(status) = child.exit_status()? {
            return Ok(Some(status));
        }
        task::sleep(Duration::from_millis(20)).await;
    }
    Ok(None)
}

/// Calls an instance without pause. Returns the calls that ended after it was told to stop, and
/// those of them that got no answer. A caller that cannot connect at all uses another address, so
/// that is no cut call.
async fn call_until(
    (addr, service, class): (SocketAddr, &'static str, &'static str),
    until: Instant,
    stopping: Arc<AtomicBool>,
) -> (usize, usize) {
    let spec = CallSpec {
        service,
        class,
        path: "/",
        body: b"order",
        headers: &[("hw-caller", "stop")],
    };
    let (mut calls, mut cut) = (0, 0);
    while Instant::now() < until {
        let Ok(stream) = TcpStream::connect(addr).await else {
            return (calls, cut);
        };
        let answer = Box::pin(send_call(stream, addr, &spec)).await;
        if stopping.load(Relaxed) {
            calls += 1;
            cut += usize::from(answer.is_err());
        }
    }
    (calls, cut)
}

/// Looks at all instances' offsets until told to end; returns how often one went back.
pub async fn watch_offsets(
    entries: Vec<SocketAddr>,
    service: &'static str,
    end: Arc<AtomicBool>,
) -> u64 {
    let mut last = vec![0; entries.len()];
    let mut back = 0;
    while !end.load(Relaxed) {
        let answers = join_all(entries.iter().map(|e| query_addresses(*e, service, ""))).await;
        for (last, answer) in last.iter_mut().zip(answers) {
            let Some(answer) = answer else {
                continue;
            };
            back += u64::from(answer.offset < *last);
            *last = answer.offset;
        }
        task::sleep(Duration::from_millis(250)).await;
    }
    back
}

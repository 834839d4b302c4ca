//! CPU time and memory for control at 16 instances: the control threads of 15 that share this process,
//! and the whole process of the sixteenth, which serves no calls.

use std::{
    error::Error,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use testkit::{ChildInstance, Cluster, ClusterSpec, load::Customer};

use crate::{
    process::threads_cpu,
    report::Report,
    start::{child, wait_offset},
    world::{document_lines, target},
};

const INSTANCES: usize = 15;
const SERVICES: usize = 33;
const STREAM: &str = "hibiscusway";
const CONTROL: &str = "control";
/// Time for links to open and views to settle.
const SETTLE: Duration = Duration::from_secs(4);
const ROUND: Duration = Duration::from_secs(2);
const ROUNDS: usize = 3;

pub async fn measure(report: Report) -> Result<(), Box<dyn Error>> {
    for targets in [62, 250, 730] {
        measure_size(report, targets).await?;
    }
    Ok(())
}

async fn measure_size(report: Report, targets: usize) -> Result<(), Box<dyn Error>> {
    let customer = Customer::by_name("lemovka").ok_or("no such customer")?;
    let spec = ClusterSpec {
        customer: Arc::new(customer),
        instances: INSTANCES,
        version: "v1",
        seed: 1,
    };
    let cluster = Box::pin(Cluster::start(spec)).await?;
    let listed = cluster.targets.len();
    for number in listed..targets {
        cluster.list.put(target(number, SERVICES));
    }
    let first = cluster.records().len() as u64 + 1;
    let lines = document_lines(3 + ROUNDS * ROUND.as_secs() as usize, SERVICES, first)?;
    let (start, changes) = lines.split_at(3);
    for line in start {
        cluster.log.push(STREAM, line);
    }
    let own = child("control", cluster.log.addr(), cluster.list.addr())?;
    wait_offset(own.addr, first + 2, Duration::from_secs(10)).await?;
    task::sleep(SETTLE).await;
    let size = format!("{targets} targets, idle");
    let idle = rounds(&own, || {}).await?;
    print(report, &size, &idle, &own)?;
    let mut changes = changes.iter();
    let size = format!("{targets} targets, 1 change/s");
    let push = || {
        if let Some(line) = changes.next() {
            cluster.log.push(STREAM, line);
        }
    };
    let changing = rounds(&own, push).await?;
    print(report, &size, &changing, &own)
}

/// Shares of a core: of each control thread here, and of the whole process of the other instance.
async fn rounds(
    own: &ChildInstance,
    mut every_second: impl FnMut(),
) -> Result<Vec<(f64, f64)>, Box<dyn Error>> {
    let mut all = Vec::new();
    for _ in 0..ROUNDS {
        let began = Instant::now();
        let (threads, process) = (threads_cpu(CONTROL)?, own.cpu_time()?);
        while began.elapsed() < ROUND {
            every_second();
            task::sleep(Duration::from_secs(1)).await;
        }
        let seconds = began.elapsed().as_secs_f64();
        let thread = (threads_cpu(CONTROL)? - threads) / INSTANCES as f64;
        let process = own.cpu_time()?.saturating_sub(process).as_secs_f64();
        all.push((100.0 * thread / seconds, 100.0 * process / seconds));
    }
    Ok(all)
}

fn print(
    report: Report,
    size: &str,
    rounds: &[(f64, f64)],
    own: &ChildInstance,
) -> Result<(), Box<dyn Error>> {
    let threads: Vec<f64> = rounds.iter().map(|r| r.0).collect();
    let processes: Vec<f64> = rounds.iter().map(|r| r.1).collect();
    let unit = "% of a core";
    report.row("control", "control thread", size, unit, &threads);
    report.row("control", "process without calls", size, unit, &processes);
    let memory = own.resident_bytes()? as f64;
    report.row("control", "resident memory", size, "B", &[memory]);
    Ok(())
}

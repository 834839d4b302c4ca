//! Plots the memory of gateways over time while 24 clients send bodies of 8 MiB that stop short, as in
//! `crates/node/tests/gateway_crowds.rs`.

use std::{
    error::Error,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use argh::FromArgs;
use async_std::{future::timeout, io::WriteExt, net::TcpStream, task};
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};
use serde_json::json;
use testkit::fleet::FleetRig;

/// `memory_mb` of the settings.
const MEMORY_MB: u32 = 64;
const CLIENTS: usize = 24;
const BODY_BYTES: usize = 8 * 1_024 * 1_024;
/// Bytes that are missing at the end of each body.
const MISSING: usize = 100;
/// Time for which the memory is recorded, and between two values.
const LENGTH: Duration = Duration::from_secs(6);
const INTERVAL: Duration = Duration::from_millis(20);
/// Time from the first value to the crowd.
const START: Duration = Duration::from_millis(500);
// Sizes in pixels.
const SIZE: (u32, u32) = (900, 480);
const LABEL_SIZE: u32 = 60;

/// Records the memory of gateways under a crowd and plots it.
#[derive(FromArgs)]
struct Args {
    /// path of the plot
    #[argh(option)]
    out: PathBuf,
    /// a gateway to record, as NAME=PATH of the program; may be repeated
    #[argh(option)]
    gateway: Vec<String>,
}

/// Memory of one gateway: seconds and megabytes.
struct Recording {
    name: String,
    points: Vec<(f64, f64)>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let args: Args = argh::from_env();
    let mut recordings = Vec::new();
    for gateway in &args.gateway {
        let (name, path) = gateway.split_once('=').ok_or("expected NAME=PATH")?;
        let points = task::block_on(record(Path::new(path)))?;
        let peak = points.iter().map(|(_, mb)| *mb).fold(0.0, f64::max);
        println!("{name}: at most {peak:.1} MB");
        recordings.push(Recording {
            name: name.to_owned(),
            points,
        });
    }
    plot(&args.out, &recordings)
}

/// Records the memory of a gateway under the crowd.
async fn record(binary: &Path) -> Result<Vec<(f64, f64)>, Box<dyn Error>> {
    let settings = format!("memory_mb = {MEMORY_MB}\n");
    let limits = json!({ "max_header_bytes": 16_384, "max_body_bytes": BODY_BYTES,
        "header_timeout_s": 3, "idle_timeout_s": 15 });
    let rig = FleetRig::start_limited(binary, &settings, &limits).await?;
    let addr = rig.instances[0].caller_addr();
    let start = Instant::now();
    let mut clients = Vec::new();
    let mut points = Vec::new();
    while start.elapsed() < LENGTH {
        if clients.is_empty() && start.elapsed() >= START {
            clients.extend((0..CLIENTS).map(|number| task::spawn(upload(addr, number))));
        }
        let mb = f64::from(u32::try_from(rig.instances[0].memory_kb()?)?) / 1_024.0;
        points.push((start.elapsed().as_secs_f64(), mb));
        task::sleep(INTERVAL).await;
    }
    Ok(points)
}

/// Sends a body that stops short, and keeps the connection open.
async fn upload(addr: SocketAddr, number: usize) {
    let Ok(mut stream) = TcpStream::connect(addr).await else {
        return;
    };
    let head = format!(
        "POST /write/1 HTTP/1.1\r\nHost: shop.example\r\nX-Hibiscusway-Request-Id: c{number}\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + BODY_BYTES - MISSING, b'x');
    // A gateway that refuses the body takes no more of it.
    let _ = timeout(LENGTH, stream.write_all(&bytes)).await;
    task::sleep(LENGTH).await;
}

fn plot(path: &Path, recordings: &[Recording]) -> Result<(), Box<dyn Error>> {
    let values = recordings.iter().flat_map(|r| &r.points);
    let bound = f64::from(MEMORY_MB);
    let top = values.map(|(_, mb)| *mb).fold(bound, f64::max) * 1.1;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("24 bodies of 8 MiB that stop short", ("sans-serif", 20))
        .margin(14)
        .x_label_area_size(LABEL_SIZE)
        .y_label_area_size(LABEL_SIZE)
        .build_cartesian_2d(0.0..LENGTH.as_secs_f64(), 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("time, s")
        .y_desc("resident memory, MB")
        .draw()?;
    let limit = Recording {
        name: String::from("memory_mb"),
        points: vec![(0.0, bound), (LENGTH.as_secs_f64(), bound)],
    };
    for (number, recording) in recordings.iter().chain([&limit]).enumerate() {
        let style = Palette99::pick(number).stroke_width(2);
        chart
            .draw_series(LineSeries::new(recording.points.iter().copied(), style))?
            .label(&recording.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], style));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    root.present()?;
    Ok(())
}

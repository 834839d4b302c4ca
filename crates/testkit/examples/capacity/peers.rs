//! Messages between instances: bytes on the wire and time to encode and decode.

use std::{error::Error, hint::black_box};

use model::TargetId;
use wire::{Fact, KeyState, LoanMsg, LogEntry, PeerMsg, RouteCounts};

use crate::{
    report::{Report, time_us},
    world::document_lines,
};

/// Length before each message, and head of the h2 frame that carries it.
const FRAME_BYTES: usize = 4 + 9;
/// Most links of an instance, as in `control::links`.
const MAX_PEERS: usize = 32;
/// Bytes of an h2 ping and of its answer, which each link carries once a second.
const PING_BYTES: usize = 17;
/// Evidence messages of a move and second.
const EVIDENCE_RATE: usize = 4;

pub fn measure(report: Report) -> Result<(), Box<dyn Error>> {
    for (name, msg) in kinds()? {
        measure_kind(report, name, &msg)?;
    }
    let beat = wire_bytes(&heartbeat())?;
    for instances in [16_usize, 32, 64] {
        let links = (instances - 1).min(MAX_PEERS);
        let sent = links * (beat + 2 * PING_BYTES);
        let size = format!("{instances} instances");
        report.row(
            "peers",
            "heartbeats and pings sent",
            &size,
            "B/s",
            &[sent as f64],
        );
    }
    for (moves, routes) in [(1, 1), (1, 5), (1, 20), (3, 5), (10, 5)] {
        let sent = 15 * moves * EVIDENCE_RATE * wire_bytes(&evidence(routes))?;
        let size = format!("{moves} moves, {routes} routes, 15 peers");
        report.row("peers", "evidence sent", &size, "B/s", &[sent as f64]);
    }
    Ok(())
}

fn wire_bytes(msg: &PeerMsg) -> Result<usize, Box<dyn Error>> {
    Ok(msg.encode()?.len() + FRAME_BYTES)
}

fn measure_kind(report: Report, name: &str, msg: &PeerMsg) -> Result<(), Box<dyn Error>> {
    let bytes = msg.encode()?;
    let row = |what: &str, unit, rounds: &[f64]| report.row("peers", what, name, unit, rounds);
    row("bytes on the wire", "B", &[wire_bytes(msg)? as f64]);
    let encode = time_us(10_000, || {
        let _ = black_box(msg.encode());
    });
    row("time to encode", "us", &encode);
    let decode = time_us(10_000, || {
        let _ = black_box(PeerMsg::decode(&bytes));
    });
    row("time to decode", "us", &decode);
    Ok(())
}

fn kinds() -> Result<Vec<(&'static str, PeerMsg)>, Box<dyn Error>> {
    let target = || TargetId::new("target-0042");
    let loan = |msg| PeerMsg::Loan {
        service: "service-07".into(),
        msg,
    };
    let want = LoanMsg::Want {
        waiting: 12,
        tight: 3,
    };
    let grant = LoanMsg::Grant {
        target: target(),
        loan: 0x1234_5678_9abc,
        hold_ms: 1_450,
    };
    let give_back = LoanMsg::Return {
        loan: 0x1234_5678_9abc,
        good: 1,
        bad: 0,
        busy_us: 11_000,
        draining: false,
        cold: false,
    };
    let fact = Fact::Draining {
        target: target(),
        incarnation: 1_796_342_400_000,
    };
    let record = LogEntry {
        offset: 5_000,
        data: document_lines(1, 33, 1)?.remove(0),
    };
    let key = [7; 16];
    Ok(vec![
        ("hello", hello()),
        ("heartbeat", heartbeat()),
        ("want", loan(want)),
        ("grant", loan(grant)),
        ("return", loan(give_back)),
        (
            "recall",
            loan(LoanMsg::Recall {
                loan: 0x1234_5678_9abc,
            }),
        ),
        ("claim of 8 targets", loan(claim())),
        ("release of 8 targets", loan(release())),
        ("evidence of 5 routes", evidence(5)),
        ("fact", PeerMsg::Fact(fact)),
        ("fetch", PeerMsg::Fetch { from: 5_000 }),
        (
            "records, 1 document",
            PeerMsg::Records {
                records: vec![record],
            },
        ),
        ("key claim", PeerMsg::KeyClaim { seq: 70_000, key }),
        (
            "key reply",
            PeerMsg::KeyReply {
                seq: 70_000,
                state: KeyState::Fresh,
            },
        ),
        (
            "key end",
            PeerMsg::KeyEnd {
                key,
                state: KeyState::Done,
            },
        ),
    ])
}

fn hello() -> PeerMsg {
    PeerMsg::Hello {
        schema: wire::PEER_SCHEMA,
        instance: "entry-07".into(),
        zone: "sk-central-a".into(),
        region: "region-1".into(),
        incarnation: 1_796_342_400_000,
    }
}

const fn heartbeat() -> PeerMsg {
    PeerMsg::Heartbeat {
        offset: 5_000,
        leaving: false,
        view: 900,
    }
}

fn targets() -> Vec<TargetId> {
    (0..8)
        .map(|n| TargetId::new(&format!("target-{n:04}")))
        .collect()
}

fn claim() -> LoanMsg {
    LoanMsg::Claim {
        view: 900,
        targets: targets(),
    }
}

fn release() -> LoanMsg {
    LoanMsg::Release {
        view: 900,
        targets: targets().into_iter().map(|t| (t, 3, 6)).collect(),
        kept: Vec::new(),
    }
}

/// Counters of both versions on `routes`.
fn evidence(routes: usize) -> PeerMsg {
    let counts = RouteCounts {
        calls: 120_000,
        errors: 14,
        slow: 5_800,
    };
    let versions = ["v1", "v2"].iter();
    let lines = versions.flat_map(|v| {
        (0..routes).map(|r| ((*v).into(), format!("/v1/route-{r:02}"), counts.clone()))
    });
    PeerMsg::Evidence {
        instance: "entry-07".into(),
        incarnation: 1_796_342_400_000,
        plan: "service-07/v2/1796342460000".to_owned(),
        routes: lines.collect(),
    }
}

//! Golden sessions: each snapshot lists the events of one simulation, one on each line. A change of
//! the dispatcher's decisions shows as a change of the snapshots.

mod session;

use policy::AttemptEnd;
use session::{BULK, CONFIRM, Session, URGENT};

/// Guards against bulk calls that delay urgent ones under overload, and against urgent refusals
/// while bulk calls run on reserved slots.
#[test]
fn session_overload_all_classes() {
    let mut session = Session::new(&["i-0"], &["i-0", "i-0"]);
    session.warm_up();
    for n in 0..30 {
        session.arrive("i-0", [BULK, URGENT, CONFIRM, URGENT, BULK][n % 5]);
        session.run(0.8);
    }
    session.run(250.0);
    insta::assert_snapshot!(session.text());
}

/// Guards against a cold target that gets more calls than its limit, both after its start and when
/// it reports that it is cold again.
#[test]
fn session_cold_start_and_cold_again() {
    let mut session = Session::new(&["i-0"], &["i-0"]);
    for n in 0..34 {
        session.cold = n == 27;
        session.arrive("i-0", URGENT);
        session.run(4.0);
    }
    session.run(100.0);
    insta::assert_snapshot!(session.text());
}

/// Guards against urgent calls that start on a target that became slow, and against a slow target
/// whose limit is not lowered.
#[test]
fn session_slow_target() {
    let mut session = Session::new(&["i-0"], &["i-0", "i-0", "i-0"]);
    session.warm_up();
    session.slow = Some("t-0");
    for n in 0..45 {
        session.arrive("i-0", [CONFIRM, URGENT, CONFIRM][n % 3]);
        session.run(2.0);
    }
    session.run(200.0);
    insta::assert_snapshot!(session.text());
}

/// Guards against a target that fails fast and therefore attracts calls, and against an ejected
/// target that never gets calls again.
#[test]
fn session_fail_fast_target() {
    let mut session = Session::new(&["i-0"], &["i-0", "i-0", "i-0"]);
    session.warm_up();
    session.failing = Some(("t-0", AttemptEnd::Error));
    for _ in 0..20 {
        session.arrive("i-0", CONFIRM);
        session.run(2.0);
    }
    session.failing = None;
    session.run(700.0);
    for _ in 0..4 {
        session.arrive("i-0", CONFIRM);
        session.run(2.0);
    }
    session.run(100.0);
    insta::assert_snapshot!(session.text());
}

/// Guards against slots that are lost together with a message or an owner, and against calls that
/// wait although other owners have idle slots.
#[test]
fn session_lending_with_losses() {
    let mut session = Session::new(&["i-0", "i-1", "i-2"], &["i-0", "i-1", "i-2"]);
    session.warm_up();
    session.note("five calls at i-0, which owns three slots");
    (0..5).for_each(|_| session.arrive("i-0", URGENT));
    session.run(30.0);
    session.note("the next Return is lost");
    session.lose_next = Some("Return");
    (0..4).for_each(|_| session.arrive("i-0", URGENT));
    session.run(1_400.0);
    session.note("i-2 is lost while i-0 uses its slots; i-1 becomes the owner of t-2");
    (0..9).for_each(|_| session.arrive("i-0", URGENT));
    session.run(4.0);
    session.lose_instance("i-2", "t-2", "i-1");
    (0..3).for_each(|_| session.arrive("i-0", URGENT));
    session.run(700.0);
    session.arrive("i-1", URGENT);
    session.run(50.0);
    insta::assert_snapshot!(session.text());
}

//! Guards against slots that stay occupied because a start could not be delivered to its call.

use async_std::{channel::bounded, future::timeout};
use model::Class;
use policy::{Call, TargetView};

use super::*;
use crate::fixtures::{context, target};

const TEST_TIMEOUT: Duration = Duration::from_secs(5);

fn view() -> Arc<ServiceView> {
    let target = TargetView {
        slots: 1,
        ..target()
    };
    Arc::new(ServiceView {
        list_version: 1,
        name: "orders".into(),
        me: "i-1".into(),
        zone: "a".into(),
        classes: vec![Class {
            name: "lookup".into(),
            target_ms: 1_000,
            delay_ms: 1_000,
            idempotent: true,
            timeout_ms: 1_000,
        }],
        targets: vec![Arc::new(target)],
        owners: vec!["i-1".into()],
        version: "v1".into(),
        active_move: None,
    })
}

fn call(ctx: &Context) -> Call {
    let now = ctx.clock.now();
    Call {
        id: ctx.next_call(),
        class: 0,
        caller: 1,
        bytes: 0,
        arrived: now,
        deadline: now.plus_ms(1_000),
        replayable: true,
        retries: 2,
    }
}

#[test]
fn start_of_gone_call_frees_slot() {
    task::block_on(async {
        let ctx = context("");
        let cancel = Token::new();
        let dispatcher = spawn_dispatcher(&ctx, &cancel, view());
        let (gone, _) = bounded(4);
        let arrive = DispatchMsg::Arrive(call(&ctx), gone);
        dispatcher.send(arrive).await.unwrap();
        let (sender, replies) = bounded(4);
        let arrive = DispatchMsg::Arrive(call(&ctx), sender);
        dispatcher.send(arrive).await.unwrap();
        let reply = timeout(TEST_TIMEOUT, replies.recv())
            .await
            .unwrap()
            .unwrap();
        assert!(matches!(reply, Reply::Start(_)), "{reply:?}");
        cancel.cancel();
    });
}

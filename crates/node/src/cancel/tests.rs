//! Guards against tasks that outlive the component that started them.

use async_std::task;

use super::*;

#[test]
fn cancel_parent_reaches_child() {
    let parent = Token::new();
    let child = parent.child().child();
    assert!(!child.is_cancelled());
    parent.cancel();
    assert!(child.is_cancelled());
    task::block_on(child.cancelled());
}

#[test]
fn cancel_child_spares_parent() {
    let parent = Token::new();
    parent.child().cancel();
    assert!(!parent.is_cancelled());
    assert_eq!(task::block_on(parent.run(async { 3 })), Some(3));
}

#[test]
fn run_after_cancel() {
    let token = Token::new();
    token.cancel();
    assert_eq!(task::block_on(token.run(future::pending::<()>())), None);
}

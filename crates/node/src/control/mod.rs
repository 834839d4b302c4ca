//! The control thread: owns shared state, membership and the driver of moves, and publishes snapshots
//! to traffic threads. The readers of the log and of the instance list, the appender and the peer
//! streams are tasks on traffic threads; they send events to the control thread.

mod admin;
mod admin_request;
mod appender;
mod event;
mod links;
mod list_reader;
mod log_reader;
mod move_watch;
mod moves;
mod peer_events;
mod prober;
mod proposals;
mod publish;
mod recent;
mod records;
mod sample;
mod thread;

pub use self::{
    admin_request::{AdminRequest, StatusReply},
    appender::append_records,
    event::ControlEvent,
    list_reader::read_list,
    log_reader::read_log,
    sample::Sample,
    thread::spawn_control,
};

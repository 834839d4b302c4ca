//! The control thread: owns configuration and membership, publishes snapshots to traffic threads.

mod admin_request;
mod event;
mod list_reader;
mod log_reader;
mod thread;

pub use self::{
    admin_request::{AdminRequest, StatusReply},
    event::ControlEvent,
    list_reader::read_list,
    log_reader::read_log,
    thread::spawn_control,
};

//! Plain data shared by all crates: identifiers, times, classes, configuration, settings and result
//! codes. Nothing here performs I/O or reads a clock.

mod class;
mod code;
mod config;
mod config_error;
mod document;
mod duration;
mod hash;
mod ids;
mod move_plan;
mod operator;
mod service;
mod settings;
mod time;

pub use crate::{
    class::Class,
    code::{ALL_CODES, Code, Outcome},
    config::{Config, MAX_CLASSES, MAX_CONFIG_BYTES, MAX_SERVICES},
    config_error::ConfigError,
    document::Document,
    duration::{MAX_DELAY_MS, MAX_TARGET_MS, MAX_TIMEOUT_MS},
    hash::{hash_parts, hash_parts_and_pieces, rendezvous, rendezvous_rank},
    ids::{
        ClassName, InstanceId, OperatorName, Region, ServiceName, TargetId, Tenant, Version, Zone,
        is_valid_id,
    },
    move_plan::MovePlan,
    operator::{Operator, Role},
    service::Service,
    settings::{MAX_OPERATORS, Settings},
    time::{Time, Wall},
};

//! HTTP/1.1 connections to other systems, kept for reuse, without a thread for each call.

mod channel;
mod listener;
mod pool;

pub(crate) use channel::{
    Channel,
    Error,
    Response,
    configure, //
};
pub(crate) use listener::{
    answer,
    listen, //
};
pub(crate) use pool::Pool;

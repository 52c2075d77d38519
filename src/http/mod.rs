//! Asynchronous HTTP/1.1 connections, without a thread for each call. Connections to servers are
//! kept for reuse.

mod body;
mod channel;
mod listener;
mod meter;
mod pool;
mod socket;

pub(crate) use body::{
    Body,
    Framing,
    Piece,
    ReadError, //
};
pub(crate) use channel::{
    Channel,
    Error,
    Response,
    configure, //
};
pub(crate) use listener::{
    listen,
    listen_until,
    serve, //
};
pub(crate) use pool::Pool;
pub(crate) use socket::Socket;

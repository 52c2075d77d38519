//! A connection between a hub and a gateway, a loader or another hub.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use tokio::{
    io::BufReader,
    net::{
        TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
    },
    time::timeout,
};

use super::codec;
use crate::http;

/// Size of the read buffer of a connection in bytes.
const BUFFER_BYTES: usize = 1_024;

/// Opens a connection.
///
/// # Errors
///
/// Fails with [`io::ErrorKind::TimedOut`] if the other end does not respond within the timeout.
pub(crate) async fn open(
    address: SocketAddr,
    connect_timeout: Duration,
) -> io::Result<(Reader, Writer)> {
    let stream = timeout(connect_timeout, TcpStream::connect(address)).await??;
    split(stream)
}

/// Splits a connection into its two directions.
pub(crate) fn split(stream: TcpStream) -> io::Result<(Reader, Writer)> {
    http::configure(&stream)?;
    let (reader, writer) = stream.into_split();
    let reader = BufReader::with_capacity(BUFFER_BYTES, reader);
    Ok((Reader(reader), Writer(writer)))
}

/// The direction of a connection in which messages arrive.
#[derive(Debug)]
pub(crate) struct Reader(BufReader<OwnedReadHalf>);

impl Reader {
    /// Reads the next message.
    ///
    /// # Errors
    ///
    /// Fails with [`io::ErrorKind::TimedOut`] if none arrives within `max_silence`, or if the
    /// connection ends or sends something else.
    pub(crate) async fn next<T: DeserializeOwned>(
        &mut self,
        max_silence: Duration,
    ) -> io::Result<T> {
        timeout(max_silence, codec::read(&mut self.0)).await?
    }
}

/// The direction of a connection in which messages are sent.
#[derive(Debug)]
pub(crate) struct Writer(OwnedWriteHalf);

impl Writer {
    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended or the message can't be encoded.
    pub(crate) async fn send<T: Serialize>(&mut self, message: &T) -> io::Result<()> {
        codec::write(&mut self.0, message).await
    }
}

//! Encoding of messages on a connection: a big-endian length of 4 bytes, then the message in
//! postcard.

use std::io::{
    Error,
    ErrorKind, //
};

use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use tokio::io::{
    AsyncRead,
    AsyncReadExt,
    AsyncWrite,
    AsyncWriteExt, //
};

/// Maximum size of an encoded message in bytes.
const MAX_MESSAGE_BYTES: u32 = 256 << 10;

/// Reads a message.
///
/// # Errors
///
/// Fails if the connection ends, or if the data is too long or not a valid message.
pub(crate) async fn read<T, R>(from: &mut R) -> Result<T, Error>
where
    T: DeserializeOwned,
    R: AsyncRead + Unpin,
{
    let length = from.read_u32().await?;
    if length > MAX_MESSAGE_BYTES {
        return Err(Error::new(
            ErrorKind::InvalidData,
            "message exceeds the maximum size",
        ));
    }
    let mut bytes = vec![0; length as usize];
    from.read_exact(&mut bytes).await?;
    postcard::from_bytes(&bytes).map_err(|error| Error::new(ErrorKind::InvalidData, error))
}

/// Writes a message.
///
/// # Errors
///
/// Fails if the connection has ended or the message can't be encoded.
pub(crate) async fn write<T, W>(to: &mut W, message: &T) -> Result<(), Error>
where
    T: Serialize,
    W: AsyncWrite + Unpin,
{
    let body =
        postcard::to_stdvec(message).map_err(|error| Error::new(ErrorKind::InvalidData, error))?;
    let mut bytes = Vec::with_capacity(4 + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&body);
    to.write_all(&bytes).await
}

//! Messages on a connection: 4 bytes of length, then postcard.

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

/// Most bytes of a message.
const MESSAGE_BYTES: u32 = 256 << 10;

/// Reads a message.
///
/// # Errors
///
/// Fails if the connection ends or what it carries is no message.
pub(crate) async fn read<T, R>(from: &mut R) -> Result<T, Error>
where
    T: DeserializeOwned,
    R: AsyncRead + Unpin,
{
    let length = from.read_u32().await?;
    if length > MESSAGE_BYTES {
        return Err(Error::new(ErrorKind::InvalidData, "message too long"));
    }
    let mut bytes = vec![0; length as usize];
    from.read_exact(&mut bytes).await?;
    postcard::from_bytes(&bytes).map_err(|error| Error::new(ErrorKind::InvalidData, error))
}

/// Writes a message.
///
/// # Errors
///
/// Fails if the connection has ended.
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

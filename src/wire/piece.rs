//! Parts of bodies. Each generated token is sent as a part of its own, so parts are encoded as
//! plain bytes.

use std::fmt;

use bytes::Bytes;
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{
        self,
        Visitor, //
    },
};

/// Part of the body of a request or response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece(pub Bytes);

impl Serialize for Piece {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        // A derived implementation would encode each byte as an integer of a sequence.
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Piece {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(BytesVisitor)
    }
}

struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = Piece;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Piece, E> {
        Ok(Piece(Bytes::copy_from_slice(bytes)))
    }

    fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Piece, E> {
        Ok(Piece(Bytes::from(bytes)))
    }
}

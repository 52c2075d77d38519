//! Parsing and validation of JSON files with comments. Each finding has its position in the file.

mod document;
mod finding;
mod schema;
pub(crate) mod text;
mod validate;

pub(crate) use document::Document;
pub use finding::{
    Finding,
    Findings, //
};
pub(crate) use schema::{
    Field,
    Kind, //
};

//! Files of JSON with comments, and findings with their place in the file.

mod document;
mod finding;
mod schema;
pub(crate) mod text;
mod walk;

pub(crate) use document::Document;
pub use finding::{
    Finding,
    Findings, //
};
pub(crate) use schema::{
    Field,
    Kind, //
};

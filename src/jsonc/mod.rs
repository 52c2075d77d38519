//! Files of JSON with comments, and findings with their place in the file.

mod document;
mod finding;
mod schema;
pub mod text;
mod walk;

pub use document::Document;
pub use finding::{
    Finding,
    Findings, //
};
pub use schema::{
    Field,
    Kind, //
};

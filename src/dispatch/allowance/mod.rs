//! The allowance of a client account, which all gateways share without a central limiter.
//!
//! Each gateway has a replica of one token bucket. It deducts what it admits at once and what others
//! admit when it hears of it. While the bucket holds enough, all requests are admitted; otherwise
//! every gateway admits the same fraction of its requests, which is found from the level and from
//! what requests ask for at all gateways.

mod decay;
mod meter;

pub use meter::{
    Meter,
    Reach, //
};

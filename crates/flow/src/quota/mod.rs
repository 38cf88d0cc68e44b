//! The number of request slots of each worker that this entry may use.
//!
//! A worker has 8 slots and receives requests from every entry, so entries that decide independently
//! would overload it. Instead, each slot of each worker is owned by one live entry, by a
//! deterministic rule that every entry computes alike ([`ownership::slots`]). The total over all
//! entries is 8 without any communication.
//!
//! Callers are not spread evenly over entries, so an entry lends the slots that it does not need
//! ([`loans::LoanTable`]). All entries compute that number from the same reports
//! ([`allocation::allocate`]). A slot is used by its owner or by its borrower, never by both: the
//! owner stops using it, waits until it has no requests in flight there, and only then grants it. A
//! recalled slot is used again only after the borrower's report acknowledges the recall and shows
//! nothing in flight there. Late, lost or reordered reports delay lending but never raise the total
//! above 8. A change of the set of entries can, because entries learn of it at different times; the
//! excess lasts until they agree and the requests then in flight have finished.

pub mod allocation;
pub mod loans;
pub mod ownership;

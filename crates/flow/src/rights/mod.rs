//! How many slots of each worker this entry may use.
//!
//! A worker has 8 slots and every entry sends to it, so entries that choose alone overrun it. Here
//! each slot of each worker belongs to one live entry, by a rule that all entries work out alike
//! ([`owner::slots`]). The sum over entries is 8 without any message.
//!
//! Callers are not spread evenly over entries, so an entry lends what it does not need
//! ([`table::Table`]). How much that is, all entries work out from the same reports
//! ([`division::divide`]). A slot is used by its owner or by its borrower, never by both: the owner
//! stops using it, waits until nothing of its own is in flight there, and only then grants it; a
//! slot that is called back is used again only when the borrower's report shows that it has seen
//! the call and has nothing in flight there. Late, lost or reordered reports delay lending and never
//! bring the sum over 8. What can is a change of the set of entries, which entries learn of at
//! different moments; it lasts as long as they differ and what is in flight then.

pub mod division;
pub mod owner;
pub mod table;

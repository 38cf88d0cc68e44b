//! The `instance` commands.

use super::{if_version, list, print_accepted};
use crate::{
    cli::{Change, Instance},
    output::Printer,
};
use eyre::Result;
use primroseroute_api::{Move, Order};
use primroseroute_client::Admin;

pub(super) fn order(change: &Change, force: bool) -> Order {
    Order {
        if_version: if_version(change),
        reason: change.reason.as_str().into(),
        force,
    }
}

pub(super) async fn run(command: Instance, admin: &Admin, printer: &mut Printer<'_>) -> Result<u8> {
    match command {
        Instance::List => list::instances(admin, printer).await,
        Instance::Drain {
            name,
            force,
            change,
        } => {
            let accepted = admin.drain(&name, &order(&change, force)).await?;
            print_accepted(accepted, &change, admin, printer).await
        }
        Instance::Move { name, pool, change } => {
            let order = Move {
                pool,
                order: order(&change, false),
            };
            let accepted = admin.move_to(&name, &order).await?;
            print_accepted(accepted, &change, admin, printer).await
        }
        Instance::Release { name, change } => {
            let accepted = admin.release(&name, &order(&change, false)).await?;
            print_accepted(accepted, &change, admin, printer).await
        }
    }
}

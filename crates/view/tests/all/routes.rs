//! Routing by host and path.

use crate::template;
use primroseroute_view::Routes;

fn routes() -> Routes {
    let mut nested = template("b", 1);
    nested.pools[0].services[0].path_prefix = Some("/a/inner".into());
    Routes::build(&[template("a", 1), nested])
}

macro_rules! routes_to {
    ($($name:ident: $host:expr, $path:expr => $service:expr;)*) => {$(
        #[test]
        fn $name() {
            let routes = routes();
            let found = routes.find($host, $path).map(|target| target.service.as_str());
            assert_eq!(found, $service);
        }
    )*};
}

routes_to! {
    host_selects_the_service: Some("a.example"), "/" => Some("a");
    host_takes_precedence_over_the_path: Some("b.example"), "/a" => Some("b");
    unknown_host_falls_back_to_the_path: Some("x.example"), "/a/beds" => Some("a");
    longest_prefix_wins: None, "/a/inner/beds" => Some("b");
    prefix_matches_whole_segments_only: None, "/ab" => None;
    shorter_segment_of_the_longer_prefix: None, "/a/inn" => Some("a");
    root_matches_nothing: None, "/" => None;
}

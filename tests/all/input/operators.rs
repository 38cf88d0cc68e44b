//! Invalid requests and templates of operators.

use super::{Port, assert_service_unaffected, exchange, garbage, site};
use crate::cases;
use eyre::Result;
use primroseroute_api::Apply;
use primroseroute_domain::{account::Template, outcome::Code};
use primroseroute_testbed::{Admin, OPERATOR_TOKEN, Site, caller_token, template};

cases! {
    invalid_templates_are_rejected_with_their_faults => invalid_templates();
    malformed_template_bodies_are_rejected => malformed_template_bodies();
    wrong_operator_tokens_are_rejected => wrong_operator();
    invalid_admin_requests_get_problem_details => invalid_admin_requests();
    garbage_gets_a_bare_400 => garbage(Port::Admin);
}

/// Makes a valid template invalid.
type Corruption = fn(&mut Template);

async fn invalid_templates() -> Result<()> {
    let site = site().await?;
    let corruptions: [(&str, Corruption); 11] = [
        ("share", |t| t.share = 0),
        ("share", |t| t.share = 10_001),
        ("tokens[0]", |t| t.tokens[0].0 = "short".into()),
        ("pools[0].budget.promised", |t| {
            t.pools[0].budget.promised = 0;
        }),
        ("pools[0].budget.max-absent", |t| {
            t.pools[0].budget.max_absent = 3;
        }),
        ("pools[0].budget.max-absent", |t| {
            t.pools[0].budget.max_absent = 0;
        }),
        ("stay.pools[1].services[0].name", |t| {
            let mut second = t.pools[0].clone();
            second.name = "second".parse().expect("a name");
            t.pools.push(second);
        }),
        ("stay.pools[1].name", |t| {
            let mut second = t.pools[0].clone();
            second.services.clear();
            t.pools.push(second);
        }),
        ("path-prefix", |t| {
            t.pools[0].services[0].path_prefix = Some("/tour".into());
        }),
        ("hosts", |t| {
            t.pools[0].services[0].hosts = vec!["a.example".into(), "a.example".into()];
        }),
        ("callers", |t| {
            t.pools[0].services[0].callers = vec!["nobody".parse().expect("a name")];
        }),
    ];
    let admin = &site.any_entry().admin;
    let before = admin.accounts().await?;
    for (field, corrupt) in corruptions {
        let mut template = template("stay", 1, 2);
        corrupt(&mut template);
        let order = Apply {
            template,
            if_version: None,
            reason: "test".into(),
        };
        let refused = admin.apply(&order).await.expect_err(field);
        assert_eq!(refused.code().map(Code::number), Some(501), "{refused}");
        assert!(refused.to_string().contains(field), "{field}: {refused}");
    }
    assert_eq!(admin.accounts().await?, before);
    assert_service_unaffected(&site).await;
    Ok(())
}

/// A body that does not deserialize into a template is rejected before the template is validated.
async fn malformed_template_bodies() -> Result<()> {
    let site = site().await?;
    let with = |share: &str, more: &str| {
        format!(r#"{{"template":{{"account":"stay","share":{share}{more}}},"reason":"test"}}"#)
    };
    let bodies = [
        with("-1", ""),
        with("1.5", ""),
        with("\"1\"", ""),
        with("1", r#","colour":"blue""#),
        with(
            "1",
            r#","pools":[{"name":"Not A Name","budget":{"promised":1,"max-absent":1}}]"#,
        ),
        with(
            "1",
            r#","pools":[{"name":"a","budget":{"promised":-1,"max-absent":1}}]"#,
        ),
        "{}".to_owned(),
        "nonsense".to_owned(),
        String::new(),
    ];
    for body in bodies {
        let answer = order(&site, OPERATOR_TOKEN, "PUT /v1/accounts/stay", &body).await?;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer} to {body}");
        assert!(answer.contains("\"code\":101"), "{answer} to {body}");
    }
    let other = with("1", "");
    let answer = order(&site, OPERATOR_TOKEN, "PUT /v1/accounts/tour", &other).await?;
    assert!(answer.contains("\"code\":101"), "{answer}");
    assert_service_unaffected(&site).await;
    Ok(())
}

/// Sends one request to the admin address and reads the response.
async fn order(site: &Site, token: &str, line: &str, body: &str) -> Result<String> {
    let length = body.len();
    let request = format!(
        "{line} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {token}\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    exchange(Port::Admin.of(site), request.as_bytes()).await
}

async fn wrong_operator() -> Result<()> {
    let site = site().await?;
    let caller = caller_token("stay");
    for token in ["wrong", "", &caller] {
        let admin = Admin::open(site.any_entry().entry.admin(), token);
        let refused = admin.status().await.expect_err("a wrong token");
        assert_eq!(refused.code().map(Code::number), Some(506), "{refused}");
        let change = Apply {
            template: template("stay", 9, 2),
            if_version: None,
            reason: "test".into(),
        };
        let refused = admin.apply(&change).await.expect_err("a wrong token");
        assert_eq!(refused.code().map(Code::number), Some(506), "{refused}");
    }
    let stay = site.any_entry().admin.account(&"stay".parse()?).await?;
    assert_eq!(stay.value.share, 1);
    assert_service_unaffected(&site).await;
    Ok(())
}

/// gotham's router would answer these requests itself, with an empty body.
async fn invalid_admin_requests() -> Result<()> {
    let site = site().await?;
    let requests = [
        ("GET /v1/nowhere", "404", "\"code\":503"),
        ("DELETE /v1/status", "405", "\"code\":101"),
        ("GET /v1/audit?limit=many", "400", "\"code\":101"),
        ("GET /v1/accounts/%ff", "400", "\"code\":101"),
        ("GET /v1/accounts/Not-A-Name", "404", "\"code\":503"),
        ("GET /v1/accounts/nobody", "404", "\"code\":503"),
    ];
    for (line, status, code) in requests {
        let answer = order(&site, OPERATOR_TOKEN, line, "").await?;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{line}: {answer}"
        );
        assert!(
            answer.contains("application/problem+json"),
            "{line}: {answer}"
        );
        assert!(answer.contains(code), "{line}: {answer}");
    }
    let answer = order(&site, OPERATOR_TOKEN, "DELETE /v1/status", "").await?;
    assert!(answer.to_lowercase().contains("allow: get"), "{answer}");
    assert_service_unaffected(&site).await;
    Ok(())
}
